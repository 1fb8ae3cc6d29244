package org.apricotdeal.policy.membership;

import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;

/**
 * Health and state of a VM as observed by one prober. A new update is created only when one of them changes.
 *
 * @param vm the VM
 * @param incarnation number of the update, which grows by one with each update of this prober on any VM
 * @param health health of the VM as observed by the prober; null if it no longer probes the VM
 * @param state state of the VM's engine, without its load; null if none was observed
 */
public record VmUpdate(VmId vm, long incarnation, Health health, EngineState state) {}
