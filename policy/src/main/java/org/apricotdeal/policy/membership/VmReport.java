package org.apricotdeal.policy.membership;

import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;

/**
 * The newest health and state of a VM that a node knows.
 *
 * @param vm the VM
 * @param health current health of the VM
 * @param state state that the VM's engine reported last; null if none is known
 * @param observedMillis lower bound, on the node's monotonic clock, for the time at which the engine was in that state: the
 *     time at which the answered probe was sent
 * @param straggler whether the VM is significantly slower than its peers
 */
public record VmReport(VmId vm, Health health, EngineState state, long observedMillis, boolean straggler) {
    /**
     * Returns the maximum age of the observed state.
     *
     * @param nowMillis current time on the same clock as {@code observedMillis}
     * @return maximum age in milliseconds
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - observedMillis;
    }
}
