package org.apricotdeal.proofs.relay;

import java.util.HashSet;
import java.util.List;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.policy.PlannedOrder;
import org.apricotdeal.relay.policy.VmTable;
import org.apricotdeal.relay.port.ReplicaOrder;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Checks what the node believes of a VM whose reports and replies arrive late or tell little. */
public final class VmTableTest {
    private static final long NOW_MILLIS = 100_000;

    /** Time after which a report cannot be older than the reply to an order. */
    private static final long REPORT_AGE_MILLIS = 600;

    private static final EngineProfile ENGINE = SimFleet.Shape.SMALL.engine();

    private static final ModelId MODEL = ENGINE.models().getFirst().id();

    private static SimVm startedVm() {
        return new SimVm(new VmId("v1"), new FabricDomainId("f0"), ENGINE.models(), new HashSet<>(), NOW_MILLIS);
    }

    /** A repeated load is not counted by the VM; its order count was taken for one higher, so that an outdated join fitted. */
    @Test
    public void repeatedLoadWasCounted() {
        SimVm vm = startedVm();
        VmTable table = new VmTable();
        ReplicaOrder load = new ReplicaOrder.Stage(MODEL);
        vm.handleOrder(NOW_MILLIS, 0, load);
        table.applyEntry(vm.entry(), NOW_MILLIS);
        table.applyReport(vm.id, vm.report(), NOW_MILLIS);
        PlannedOrder repeated = new PlannedOrder(table.find(vm.id).orElseThrow(), 1, load, "a test");
        table.applyReply(repeated, vm.handleOrder(NOW_MILLIS, 1, load), NOW_MILLIS);
        table.applyReport(vm.id, vm.report(), NOW_MILLIS + REPORT_AGE_MILLIS - 1);
        assertEquals(table.find(vm.id).orElseThrow().orderCount(), UpstreamVm.ORDER_COUNT_UNKNOWN);
        table.applyReport(vm.id, vm.report(), NOW_MILLIS + REPORT_AGE_MILLIS);
        assertEquals(table.find(vm.id).orElseThrow().orderCount(), 1);
    }

    /** VMs of a starting fleet were left out of its layout after their first loads, since their order counts were unknown. */
    @Test
    public void firstLoadOfIdleVmWasNotCountedAtOnce() {
        SimVm vm = startedVm();
        VmTable table = new VmTable();
        ReplicaOrder load = new ReplicaOrder.Stage(MODEL);
        table.applyEntry(vm.entry(), NOW_MILLIS);
        table.applyReport(vm.id, vm.report(), NOW_MILLIS);
        PlannedOrder order = new PlannedOrder(table.find(vm.id).orElseThrow(), 0, load, "a test");
        table.applyReply(order, vm.handleOrder(NOW_MILLIS, 0, load), NOW_MILLIS);
        assertEquals(table.find(vm.id).orElseThrow().orderCount(), 1);
    }

    /** An outdated report moved a head back to its former replica, so that it was taken for stopped and lost a member. */
    @Test
    public void outdatedReportMovedVmBackToFormerReplica() {
        SimVm vm = startedVm();
        VmTable table = new VmTable();
        join(vm, 1);
        VmReport outdated = vm.state();
        join(vm, 2);
        table.applyEntry(vm.entry(), NOW_MILLIS);
        table.applyReport(vm.id, outdated, NOW_MILLIS);
        assertEquals(table.find(vm.id).orElseThrow().group(), vm.group);
    }

    private static void join(SimVm vm, long epoch) {
        ReplicaId replica = new ReplicaId("r" + epoch);
        vm.handleOrder(NOW_MILLIS, vm.orderCount, new ReplicaOrder.Join(replica, epoch, MODEL, List.of(vm.id)));
    }
}
