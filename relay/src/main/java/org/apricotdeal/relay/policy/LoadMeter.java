package org.apricotdeal.relay.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.ModelId;

/** Smooths what the nodes say of requests at targets to the load of each model. */
public final class LoadMeter {
    /** Time constant of the average: long against a request, short against a load of weights. */
    private static final double SMOOTHING_MILLIS = 1_500;

    private final Map<LineId, Double> busy = new HashMap<>();
    private final Map<LineId, Integer> slots = new HashMap<>();
    private long lastMillis = -1;

    /**
     * Takes a reading.
     *
     * @param nowMillis time
     * @param targets all targets
     * @param running requests at targets, as each node counts its own
     */
    public void read(long nowMillis, List<Target> targets, Collection<Map<TargetId, Integer>> running) {
        Map<LineId, Integer> sums = new HashMap<>();
        slots.clear();
        for (Target target : targets) {
            slots.merge(target.line(), target.slots(), Integer::sum);
            for (Map<TargetId, Integer> node : running) {
                sums.merge(target.line(), node.getOrDefault(target.id(), 0), Integer::sum);
            }
        }
        double part = lastMillis < 0 ? 1 : 1 - Math.exp((lastMillis - nowMillis) / SMOOTHING_MILLIS);
        lastMillis = nowMillis;
        busy.keySet().forEach(line -> sums.putIfAbsent(line, 0));
        sums.forEach((line, sum) -> busy.merge(line, (double) sum, (old, fresh) -> old + part * (fresh - old)));
    }

    /**
     * Returns the load of an upstream's models.
     *
     * @param upstream the upstream
     * @return the load of each model of which anything is known
     */
    public Map<ModelId, ModelLoad> loads(UpstreamId upstream) {
        Map<ModelId, ModelLoad> loads = new HashMap<>();
        busy.forEach((line, sum) -> {
            if (line.upstream().equals(upstream) && line.model().isPresent()) {
                loads.put(line.model().get(), new ModelLoad(sum, slots.getOrDefault(line, 0)));
            }
        });
        return loads;
    }
}
