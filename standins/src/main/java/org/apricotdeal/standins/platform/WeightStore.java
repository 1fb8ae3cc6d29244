package org.apricotdeal.standins.platform;

import java.util.HashMap;
import java.util.Map;

import org.apricotdeal.kernel.time.Clock;

/** The weight store's rate limit: a bounded number of loads at a time, each held for as long as it takes. */
public final class WeightStore {
    private final Clock clock;
    private final int concurrentLoads;
    private final Map<String, Long> endsAtMillisByVm = new HashMap<>();

    /**
     * Creates a store that serves nobody yet.
     *
     * @param clock tells the time
     * @param concurrentLoads loads at the same time
     */
    public WeightStore(Clock clock, int concurrentLoads) {
        this.clock = clock;
        this.concurrentLoads = concurrentLoads;
    }

    /**
     * Begins a load. A VM that asks again replaces its own load.
     *
     * @param vm the VM
     * @param loadMillis time that the load takes
     * @return false where too many run already
     */
    public synchronized boolean begin(String vm, long loadMillis) {
        long nowMillis = clock.monotonicMillis();
        endsAtMillisByVm.remove(vm);
        endsAtMillisByVm.values().removeIf(endsAt -> endsAt <= nowMillis);
        if (endsAtMillisByVm.size() >= concurrentLoads) {
            return false;
        }
        endsAtMillisByVm.put(vm, nowMillis + loadMillis);
        return true;
    }
}
