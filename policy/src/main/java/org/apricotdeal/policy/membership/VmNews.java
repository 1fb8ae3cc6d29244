package org.apricotdeal.policy.membership;

import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;

/**
 * What a prober saw of a VM for itself. It is told again only when it changes.
 *
 * @param vm the VM
 * @param incarnation grows by one with each change of anything that this prober sees
 * @param health the prober's verdict; null where it probes the VM no longer
 * @param state the engine's state, without its load; null where none was seen
 */
public record VmNews(VmId vm, long incarnation, Health health, EngineState state) {}
