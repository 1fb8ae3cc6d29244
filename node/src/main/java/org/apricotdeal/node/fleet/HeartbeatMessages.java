package org.apricotdeal.node.fleet;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.Heartbeat;
import org.apricotdeal.policy.membership.VmUpdate;
import org.apricotdeal.wire.gen.THealth;
import org.apricotdeal.wire.gen.THeartbeat;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.apricotdeal.wire.gen.TPhase;
import org.apricotdeal.wire.gen.TVmNews;

/** Converts between heartbeats and peer messages. */
public final class HeartbeatMessages {
    private HeartbeatMessages() {}

    /**
     * Converts a heartbeat to the body of a peer message. The sender's name is a field of the message itself.
     *
     * @param heartbeat the heartbeat to send
     * @return the message body
     */
    public static THeartbeat toWire(Heartbeat heartbeat) {
        List<TVmNews> updates = new ArrayList<>();
        for (VmUpdate update : heartbeat.vmUpdates()) {
            updates.add(toWire(update));
        }
        return new THeartbeat(
                heartbeat.bootId(),
                heartbeat.sentMillis(),
                heartbeat.echoBootId(),
                heartbeat.echoMillis(),
                heartbeat.ackIncarnation(),
                heartbeat.oldestAliveMillis(),
                heartbeat.afterIncarnation(),
                updates);
    }

    private static TVmNews toWire(VmUpdate update) {
        TVmNews message = new TVmNews(update.vm().value(), update.incarnation());
        if (update.health() != null) {
            message.setHealth(THealth.valueOf(update.health().name()));
        }
        EngineState state = update.state();
        if (state == null) {
            return message;
        }
        message.setBootId(state.bootId());
        message.setPhase(TPhase.valueOf(state.phase().name()));
        message.setGeneration(state.generation());
        message.setFence(state.fence());
        message.setMembers(state.members().stream().map(VmId::value).toList());
        if (state.replica() != null) {
            message.setReplica(state.replica().value());
        }
        if (state.loadedModel() != null) {
            message.setLoadedModel(state.loadedModel().value());
        }
        return message;
    }

    /**
     * Converts a peer message to a heartbeat.
     *
     * @param message a message whose body is a heartbeat
     * @return the heartbeat
     * @throws IllegalArgumentException if a name in the message is not valid
     */
    public static Heartbeat fromWire(TPeerMessage message) {
        THeartbeat body = message.getBody().getHeartbeat();
        List<VmUpdate> updates = new ArrayList<>();
        for (TVmNews update : body.getNews()) {
            updates.add(fromWire(update));
        }
        return new Heartbeat(
                new NodeId(message.getSender()),
                new FailureDomainId(message.getSenderDomain()),
                body.getBootId(),
                body.getSentMillis(),
                body.getEchoBootId(),
                body.getEchoMillis(),
                body.getAckIncarnation(),
                body.getOldestAliveMillis(),
                body.getAfterIncarnation(),
                updates);
    }

    private static VmUpdate fromWire(TVmNews message) {
        VmId vm = new VmId(message.getVm());
        Health health =
                message.isSetHealth() ? Health.valueOf(message.getHealth().name()) : null;
        if (!message.isSetPhase()) {
            return new VmUpdate(vm, message.getIncarnation(), health, null);
        }
        EngineState state = new EngineState(
                vm,
                message.getBootId(),
                EnginePhase.valueOf(message.getPhase().name()),
                message.isSetReplica() ? new ReplicaId(message.getReplica()) : null,
                message.getGeneration(),
                message.getMembers().stream().map(VmId::new).toList(),
                message.getFence(),
                message.isSetLoadedModel() ? new UpstreamId(message.getLoadedModel()) : null,
                EngineLoad.NONE);
        return new VmUpdate(vm, message.getIncarnation(), health, state);
    }
}
