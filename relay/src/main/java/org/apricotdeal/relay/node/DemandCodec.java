package org.apricotdeal.relay.node;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.wire.gen.TRelayDemand;
import org.apricotdeal.wire.gen.TRelayHeartbeat;

/** Writes the demand by queue to heartbeats and reads it again; times are sent as ages, since clocks differ. */
final class DemandCodec {
    /** Maximum number of queues in a heartbeat; those with the fewest new requests are left out. */
    private static final int MAX_QUEUES = 64;

    /** Maximum number of priorities of a queue in a heartbeat; those with the fewest refusals are left out. */
    private static final int MAX_PRIORITIES = 16;

    private DemandCodec() {}

    /** Adds the demand to a heartbeat, unless there is none. */
    static void encode(Map<QueueId, QueueDemand> demandByQueue, TRelayHeartbeat heartbeat, long nowMillis) {
        if (demandByQueue.isEmpty()) {
            return;
        }
        heartbeat.setDemand(demandByQueue.entrySet().stream()
                .sorted(Comparator.comparingDouble(entry -> -entry.getValue().newRequestsPerSecond()))
                .limit(MAX_QUEUES)
                .map(entry -> encode(entry.getKey(), entry.getValue(), nowMillis))
                .toList());
    }

    private static TRelayDemand encode(QueueId queue, QueueDemand demand, long nowMillis) {
        Map<Integer, Double> refusedPerSecond = new HashMap<>();
        demand.refusedPerSecond().entrySet().stream()
                .sorted(Comparator.comparingDouble(entry -> -entry.getValue()))
                .limit(MAX_PRIORITIES)
                .forEach(entry -> refusedPerSecond.put(entry.getKey(), entry.getValue()));
        long ageMillis = Math.max(0, nowMillis - demand.measuredAtMillis());
        TRelayDemand encoded = new TRelayDemand(
                queue.upstream().value(),
                (int) Math.min(Integer.MAX_VALUE, ageMillis),
                demand.sampleWeight(),
                demand.newRequestsPerSecond(),
                refusedPerSecond,
                demand.serviceMillis());
        queue.model().ifPresent(model -> encoded.setModel(model.value()));
        return encoded;
    }

    /**
     * Returns the demand in a heartbeat, without slots. A queue whose figures are no rates is left out.
     *
     * @throws IllegalArgumentException if an id is invalid
     */
    static Map<QueueId, QueueDemand> decode(TRelayHeartbeat heartbeat, long nowMillis) {
        List<TRelayDemand> encoded = heartbeat.isSetDemand() ? heartbeat.getDemand() : List.of();
        Map<QueueId, QueueDemand> demandByQueue = new HashMap<>();
        for (TRelayDemand demand : encoded) {
            if (!isValid(demand)) {
                continue;
            }
            Optional<ModelId> model =
                    demand.isSetModel() ? Optional.of(new ModelId(demand.getModel())) : Optional.empty();
            SortedMap<Integer, Double> refusedPerSecond = new TreeMap<>(demand.getRefusedPerSecond());
            demandByQueue.put(
                    new QueueId(new UpstreamId(demand.getUpstream()), model),
                    new QueueDemand(
                            demand.getSampleWeight(),
                            demand.getNewRequestsPerSecond(),
                            refusedPerSecond,
                            demand.getServiceMillis(),
                            0,
                            nowMillis - demand.getAgeMillis()));
        }
        return demandByQueue;
    }

    private static boolean isValid(TRelayDemand demand) {
        return demand.getAgeMillis() >= 0
                && isRate(demand.getSampleWeight())
                && isRate(demand.getNewRequestsPerSecond())
                && isRate(demand.getServiceMillis())
                && demand.getRefusedPerSecond().values().stream().allMatch(DemandCodec::isRate);
    }

    private static boolean isRate(double value) {
        return Double.isFinite(value) && value >= 0;
    }
}
