package org.apricotdeal.relay.policy;

import java.util.Map;

import org.apricotdeal.relay.model.ModelId;

/**
 * What the VMs of an upstream in a failure domain do, as its planner sees it. Each VM is counted once.
 *
 * @param serving members of replicas that are open
 * @param forming members of replicas that are not open yet
 * @param spares VMs in no replica that hold a model's weights, by model
 * @param loading VMs in no replica that load weights
 * @param resting VMs that must not join another replica before their former head has certainly stopped
 * @param blank VMs in no replica without weights
 * @param parting members of replicas that are being dissolved
 * @param away VMs that leave or do not answer
 */
public record VmCensus(
        int serving,
        int forming,
        Map<ModelId, Integer> spares,
        int loading,
        int resting,
        int blank,
        int parting,
        int away) {
    /** Copies the map. */
    public VmCensus {
        spares = Map.copyOf(spares);
    }

    /**
     * Returns how many VMs could work but serve no one.
     *
     * @return number of VMs
     */
    public int stranded() {
        int idle = spares.values().stream().mapToInt(Integer::intValue).sum();
        return forming + idle + loading + resting + blank + parting;
    }
}
