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

/** Turns heartbeats into peer messages and back. */
public final class HeartbeatMessages {
    private HeartbeatMessages() {}

    /**
     * Turns a heartbeat into a message's body; the sender's name travels in the envelope.
     *
     * @param heartbeat the heartbeat
     * @return the body
     */
    public static THeartbeat toWire(Heartbeat heartbeat) {
        List<TVmNews> news = new ArrayList<>();
        for (VmUpdate one : heartbeat.vmUpdates()) {
            news.add(toWire(one));
        }
        return new THeartbeat(
                heartbeat.bootId(),
                heartbeat.sentMillis(),
                heartbeat.echoBootId(),
                heartbeat.echoMillis(),
                heartbeat.ackIncarnation(),
                heartbeat.oldestAliveMillis(),
                heartbeat.afterIncarnation(),
                news);
    }

    private static TVmNews toWire(VmUpdate news) {
        TVmNews wire = new TVmNews(news.vm().value(), news.incarnation());
        if (news.health() != null) {
            wire.setHealth(THealth.valueOf(news.health().name()));
        }
        EngineState state = news.state();
        if (state == null) {
            return wire;
        }
        wire.setBootId(state.bootId());
        wire.setPhase(TPhase.valueOf(state.phase().name()));
        wire.setGeneration(state.generation());
        wire.setFence(state.fence());
        wire.setMembers(state.members().stream().map(VmId::value).toList());
        if (state.replica() != null) {
            wire.setReplica(state.replica().value());
        }
        if (state.loadedModel() != null) {
            wire.setLoadedModel(state.loadedModel().value());
        }
        return wire;
    }

    /**
     * Reads a heartbeat.
     *
     * @param message the message, with a heartbeat as its body
     * @return the heartbeat
     * @throws IllegalArgumentException where it holds no valid names
     */
    public static Heartbeat fromWire(TPeerMessage message) {
        THeartbeat wire = message.getBody().getHeartbeat();
        List<VmUpdate> news = new ArrayList<>();
        for (TVmNews one : wire.getNews()) {
            news.add(fromWire(one));
        }
        return new Heartbeat(
                new NodeId(message.getSender()),
                new FailureDomainId(message.getSenderDomain()),
                wire.getBootId(),
                wire.getSentMillis(),
                wire.getEchoBootId(),
                wire.getEchoMillis(),
                wire.getAckIncarnation(),
                wire.getOldestAliveMillis(),
                wire.getAfterIncarnation(),
                news);
    }

    private static VmUpdate fromWire(TVmNews wire) {
        VmId vm = new VmId(wire.getVm());
        Health health = wire.isSetHealth() ? Health.valueOf(wire.getHealth().name()) : null;
        if (!wire.isSetPhase()) {
            return new VmUpdate(vm, wire.getIncarnation(), health, null);
        }
        EngineState state = new EngineState(
                vm,
                wire.getBootId(),
                EnginePhase.valueOf(wire.getPhase().name()),
                wire.isSetReplica() ? new ReplicaId(wire.getReplica()) : null,
                wire.getGeneration(),
                wire.getMembers().stream().map(VmId::new).toList(),
                wire.getFence(),
                wire.isSetLoadedModel() ? new UpstreamId(wire.getLoadedModel()) : null,
                EngineLoad.NONE);
        return new VmUpdate(vm, wire.getIncarnation(), health, state);
    }
}
