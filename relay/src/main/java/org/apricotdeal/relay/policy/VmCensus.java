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
public record VmCensus(Map<VmOccupation, Integer> counts, SortedMap<ModelId, Integer> spares) {
    /**
     * Counts VMs.
     *
     * @param vms the VMs
     * @param occupation tells what a VM does
     * @return the counts
     */
    static VmCensus of(Collection<UpstreamVm> vms, Function<UpstreamVm, VmOccupation> occupation) {
        Map<VmOccupation, Integer> counts = new EnumMap<>(VmOccupation.class);
        SortedMap<ModelId, Integer> spares = new TreeMap<>(Comparator.comparing(ModelId::value));
        for (UpstreamVm vm : vms) {
            VmOccupation does = occupation.apply(vm);
            counts.merge(does, 1, Integer::sum);
            if (does == VmOccupation.SPARE) {
                ModelId model = vm.staged().isEmpty()
                        ? vm.loaded().orElseThrow()
                        : vm.staged().getFirst();
                spares.merge(model, 1, Integer::sum);
            }
        }
        return new VmCensus(Map.copyOf(counts), Collections.unmodifiableSortedMap(spares));
    }

    /**
     * Returns how many VMs do something.
     *
     * @param occupation what they do
     * @return number of VMs
     */
    public int count(VmOccupation occupation) {
        return counts.getOrDefault(occupation, 0);
    }

    /**
     * Returns how many VMs could work but serve no one.
     *
     * @return number of VMs
     */
    public int stranded() {
        int all = counts.values().stream().mapToInt(Integer::intValue).sum();
        return all - count(VmOccupation.SERVING) - count(VmOccupation.AWAY);
    }
}
