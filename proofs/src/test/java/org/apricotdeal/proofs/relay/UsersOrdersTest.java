package org.apricotdeal.proofs.relay;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.VmClient;
import org.apricotdeal.relay.port.WatchStore;
import org.apricotdeal.standins.users.UsersStoreStandin;
import org.apricotdeal.standins.users.UsersWorkerStandin;
import org.eclipse.jetty.client.HttpClient;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests the orders of a replica's life cycle over the users' protocol, each conditional on the VM's order count. */
public final class UsersOrdersTest {
    private static final long TIMEOUT_MILLIS = 2_000;
    private static final ReplicaId REPLICA = new ReplicaId("m1.p-1");

    @Test
    public void replicaIsJoinedOpenedClosedAndLeft() throws Exception {
        UsersPlatform platform = new UsersPlatform();
        HttpClient client = new HttpClient();
        client.start();
        try (UsersStoreStandin store = new UsersStoreStandin();
                UsersWorkerStandin worker = new UsersWorkerStandin(
                        store, new UsersWorkerStandin.Settings("i-1", "chat", "a", "d1", 1, 1))) {
            VmClient vmClient = platform.vmClient(client);
            UpstreamVm vm = vm(platform, client, store);
            ModelId model = new ModelId("m1");
            assertEquals(send(vmClient, vm, 0, new ReplicaOrder.Close(REPLICA, 7)), OrderReply.CONFLICT);
            assertEquals(
                    send(vmClient, vm, 0, new ReplicaOrder.Join(REPLICA, 7, model, List.of(vm.id()))),
                    OrderReply.BEGUN);
            awaitPhase(vmClient, vm, GroupPhase.READY);
            assertEquals(send(vmClient, vm, 1, new ReplicaOrder.Open(REPLICA, 7)), OrderReply.BEGUN);
            awaitPhase(vmClient, vm, GroupPhase.OPEN);
            assertEquals(send(vmClient, vm, 1, new ReplicaOrder.Close(REPLICA, 7)), OrderReply.CONFLICT);
            assertEquals(send(vmClient, vm, 2, new ReplicaOrder.Close(REPLICA, 7)), OrderReply.BEGUN);
            awaitPhase(vmClient, vm, GroupPhase.READY);
            assertEquals(send(vmClient, vm, 3, new ReplicaOrder.Leave(REPLICA, 7)), OrderReply.BEGUN);
            assertEquals(group(vmClient, vm), Optional.empty());
            assertEquals(worker.runs(), List.of());
        } finally {
            client.stop();
        }
    }

    private static UpstreamVm vm(UsersPlatform platform, HttpClient client, UsersStoreStandin store) {
        var read = platform.store(client, store.address(), TIMEOUT_MILLIS)
                .range(platform.codec().vmPrefix(), false);
        byte[] entry = ((Result.Ok<WatchStore.Range, StoreFault>) read)
                .value()
                .items()
                .getFirst()
                .value();
        return platform.codec().vm("i-1", entry).orElseThrow();
    }

    private static OrderReply send(VmClient vmClient, UpstreamVm vm, long expected, ReplicaOrder order)
            throws Exception {
        return vmClient.order(vm, expected, order, TIMEOUT_MILLIS).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static Optional<GroupMembership> group(VmClient vmClient, UpstreamVm vm) {
        Result<VmReport, String> report = vmClient.report(vm, TIMEOUT_MILLIS).join();
        return ((Result.Ok<VmReport, String>) report).value().group();
    }

    private static void awaitPhase(VmClient vmClient, UpstreamVm vm, GroupPhase phase) {
        RelayFleet.await(
                2, () -> group(vmClient, vm).map(GroupMembership::phase).equals(Optional.of(phase)));
    }
}
