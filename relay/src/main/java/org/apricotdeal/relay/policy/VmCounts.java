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
 * What the VMs of an upstream in a failure domain do, as its planner sees it. Each VM is counted once.
 *
 * @param counts number of VMs by what they do; an occupation without any is left out
 * @param spares spares by the model whose weights they hold
 */
public record VmCounts(Map<VmActivity, Integer> counts, SortedMap<ModelId, Integer> spares) {
    /**
     * Counts VMs.
     *
     * @param vms the VMs
     * @param occupation tells what a VM does
     * @return the counts
     */
    static VmCounts of(Collection<UpstreamVm> vms, Function<UpstreamVm, VmActivity> occupation) {
        Map<VmActivity, Integer> counts = new EnumMap<>(VmActivity.class);
        SortedMap<ModelId, Integer> spares = new TreeMap<>(Comparator.comparing(ModelId::value));
        for (UpstreamVm vm : vms) {
            VmActivity does = occupation.apply(vm);
            counts.merge(does, 1, Integer::sum);
            if (does == VmActivity.SPARE) {
                ModelId model = vm.stagedModels().isEmpty()
                        ? vm.loadedModel().orElseThrow()
                        : vm.stagedModels().getFirst();
                spares.merge(model, 1, Integer::sum);
            }
        }
        return new VmCounts(Map.copyOf(counts), Collections.unmodifiableSortedMap(spares));
    }

    /**
     * Returns how many VMs do something.
     *
     * @param occupation what they do
     * @return number of VMs
     */
    public int count(VmActivity occupation) {
        return counts.getOrDefault(occupation, 0);
    }

    /**
     * Returns how many VMs could work but serve no one.
     *
     * @return number of VMs
     */
    public int notServing() {
        int all = counts.values().stream().mapToInt(Integer::intValue).sum();
        return all - count(VmActivity.SERVING) - count(VmActivity.AWAY);
    }
}
