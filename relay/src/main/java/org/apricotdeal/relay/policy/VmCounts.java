package org.apricotdeal.relay.policy;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.UpstreamVm;

/**
 * Activities of the VMs of an upstream in a failure domain, as seen by its planner. Each VM is counted once.
 *
 * @param counts number of VMs by activity; activities without VMs are omitted
 * @param spares number of spares by the model whose weights they have
 */
public record VmCounts(Map<VmActivity, Integer> counts, SortedMap<ModelId, Integer> spares) {
    /**
     * Counts the VMs.
     *
     * @param vms VMs to count
     * @param activity returns the activity of a VM
     * @return counts by activity
     */
    static VmCounts of(Collection<UpstreamVm> vms, Function<UpstreamVm, VmActivity> activity) {
        Map<VmActivity, Integer> counts = new EnumMap<>(VmActivity.class);
        SortedMap<ModelId, Integer> spares = new TreeMap<>(Comparator.comparing(ModelId::value));
        for (UpstreamVm vm : vms) {
            VmActivity vmActivity = activity.apply(vm);
            counts.merge(vmActivity, 1, Integer::sum);
            if (vmActivity == VmActivity.SPARE) {
                ModelId model = vm.stagedModels().isEmpty()
                        ? vm.loadedModel().orElseThrow()
                        : vm.stagedModels().getFirst();
                spares.merge(model, 1, Integer::sum);
            }
        }
        return new VmCounts(Map.copyOf(counts), Collections.unmodifiableSortedMap(spares));
    }

    /**
     * Returns the number of VMs with an activity.
     *
     * @param activity activity to look up
     * @return number of VMs, 0 if there are none
     */
    public int count(VmActivity activity) {
        return counts.getOrDefault(activity, 0);
    }

    /**
     * Returns the number of available VMs that do not serve.
     *
     * @return number of VMs
     */
    public int notServing() {
        int all = counts.values().stream().mapToInt(Integer::intValue).sum();
        return all - count(VmActivity.SERVING) - count(VmActivity.AWAY);
    }
}
