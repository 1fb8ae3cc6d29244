package org.apricotdeal.policy.membership;

import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;

/**
 * The newest that a node knows of a VM.
 *
 * @param vm the VM
 * @param health its health as of now
 * @param state what its engine reported last
 * @param observedMillis a moment, on the node's own monotonic clock, at or after which the engine was in that state: when
 *     the probe was sent that the engine answered
 * @param straggler whether the VM is markedly slower than its peers
 */
public record VmReport(VmId vm, Health health, EngineState state, long observedMillis, boolean straggler) {
    /**
     * Returns how old the report can be.
     *
     * @param nowMillis time on the same clock
     * @return age in milliseconds
     */
    public long ageMillis(long nowMillis) {
        return nowMillis - observedMillis;
    }
}
