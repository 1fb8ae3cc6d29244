package org.apricotdeal.proofs.node;

import java.util.List;

import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.fleet.HeartbeatMessages;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.Heartbeat;
import org.apricotdeal.policy.membership.VmUpdate;
import org.apricotdeal.wire.PeerCodec;
import org.apricotdeal.wire.gen.THybridTime;
import org.apricotdeal.wire.gen.TPeerBody;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a heartbeat is unchanged by encoding and decoding, and that invalid bytes are rejected. */
public final class HeartbeatMessagesTest {
    @Test
    public void decodedHeartbeatEqualsEncodedHeartbeat() {
        VmId vm = new VmId("vm1");
        EngineState joined = new EngineState(
                vm,
                "boot-1",
                EnginePhase.JOINED,
                new ReplicaId("quote-1"),
                3,
                List.of(vm, new VmId("vm2")),
                7,
                new UpstreamId("quote"),
                EngineLoad.NONE);
        EngineState idle = new EngineState(
                new VmId("vm3"), "boot-3", EnginePhase.IDLE, null, 0, List.of(), 0, null, EngineLoad.NONE);
        Heartbeat heartbeat = new Heartbeat(
                new NodeId("node1"),
                new FailureDomainId("fd1"),
                "boot",
                1,
                "echo",
                2,
                3,
                4,
                5,
                List.of(
                        new VmUpdate(vm, 1, Health.ALIVE, joined),
                        new VmUpdate(new VmId("vm3"), 2, Health.SUSPECT, idle),
                        new VmUpdate(new VmId("desk1"), 3, Health.FAILED, null),
                        new VmUpdate(new VmId("vm4"), 4, null, null)));
        TPeerBody body = TPeerBody.heartbeat(HeartbeatMessages.toWire(heartbeat));
        byte[] bytes = PeerCodec.encode(new TPeerMessage("node1", "fd1", new THybridTime(9, 1), body));
        assertEquals(
                PeerCodec.decode(bytes) instanceof Result.Ok<TPeerMessage, String>(TPeerMessage message)
                        ? HeartbeatMessages.fromWire(message)
                        : null,
                heartbeat);
    }

    @Test
    public void rejectsBytesThatAreNotAMessage() {
        assertTrue(PeerCodec.decode(new byte[] {1, 2, 3}) instanceof Result.Err);
        assertTrue(PeerCodec.decode(new byte[0]) instanceof Result.Err);
    }
}
