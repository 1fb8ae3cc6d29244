package org.apricotdeal.proofs.relay;

import java.util.HashSet;
import java.util.List;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
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

    private final SimFleet.Shape shape = SimFleet.Shape.SMALL;
    private final SimVm vm =
            new SimVm(new VmId("v1"), new FabricDomainId("f0"), shape.engine().models(), new HashSet<>(), NOW_MILLIS);
    private final VmTable table = new VmTable();

    /** A repeated load is not counted by the VM; its order count was taken for one higher, so that an outdated join fitted. */
    @Test
    public void repeatedLoadWasCounted() {
        ReplicaOrder load =
                new ReplicaOrder.Stage(shape.engine().models().getFirst().id());
        vm.handleOrder(NOW_MILLIS, 0, load);
        table.applyEntry(vm.entry(), NOW_MILLIS);
        table.applyReport(vm.id, vm.report(), NOW_MILLIS);
        PlannedOrder repeated = new PlannedOrder(table.find(vm.id).orElseThrow(), 1, load, "a test");
        table.applyReply(repeated, vm.handleOrder(NOW_MILLIS, 1, load), NOW_MILLIS);
        assertEquals(
                List.of(orderCount(0), orderCount(REPORT_AGE_MILLIS - 1), orderCount(REPORT_AGE_MILLIS)),
                List.of(UpstreamVm.ORDER_COUNT_UNKNOWN, UpstreamVm.ORDER_COUNT_UNKNOWN, 1L));
    }

    /** Returns the known order count after a report that arrives some time after the reply. */
    private long orderCount(long afterMillis) {
        table.applyReport(vm.id, vm.report(), NOW_MILLIS + afterMillis);
        return table.find(vm.id).orElseThrow().orderCount();
    }
}
