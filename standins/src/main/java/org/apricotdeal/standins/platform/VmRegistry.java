package org.apricotdeal.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;

/** The platform's VMs; what the list shows lags behind. */
public final class VmRegistry {
    private final Clock clock;
    private final long lagMillis;
    private final Map<VmId, Vm> known = new TreeMap<>();
    private final Map<VmId, Vm> shown = new TreeMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();

    /** A change that the list shows from a time on; without a VM it is a removal. */
    private record Change(long showsAtMillis, VmId id, Vm vm) {}

    /**
     * Creates a registry.
     *
     * @param clock tells the time
     * @param lagMillis delay until a change shows in the list
     * @param vms all VMs that the platform knows
     * @param absent those of them that the list does not show at first
     */
    public VmRegistry(Clock clock, long lagMillis, List<Vm> vms, List<VmId> absent) {
        this.clock = clock;
        this.lagMillis = lagMillis;
        for (Vm vm : vms) {
            known.put(vm.id(), vm);
            if (!absent.contains(vm.id())) {
                shown.put(vm.id(), vm);
            }
        }
    }

    /**
     * Returns the list as it shows now.
     *
     * @return the VMs by id
     */
    public synchronized List<Vm> shown() {
        while (!changes.isEmpty() && changes.peekFirst().showsAtMillis() <= clock.monotonicMillis()) {
            Change change = changes.removeFirst();
            if (change.vm() == null) {
                shown.remove(change.id());
            } else {
                shown.put(change.id(), change.vm());
            }
        }
        return new ArrayList<>(shown.values());
    }

    /**
     * Changes a VM's state.
     *
     * @param id the VM
     * @param state its new state
     * @return false where the platform knows no such VM
     */
    public synchronized boolean state(VmId id, VmState state) {
        Vm vm = known.get(id);
        if (vm == null) {
            return false;
        }
        Vm changed = new Vm(
                id, vm.failureDomain(), vm.fabricDomain(), vm.upstream(), vm.address(), vm.accelerators(), state);
        known.put(id, changed);
        changes.addLast(new Change(clock.monotonicMillis() + lagMillis, id, changed));
        return true;
    }

    /**
     * Takes a VM off the list.
     *
     * @param id the VM
     * @return false where the platform knows no such VM
     */
    public synchronized boolean remove(VmId id) {
        if (!known.containsKey(id)) {
            return false;
        }
        changes.addLast(new Change(clock.monotonicMillis() + lagMillis, id, null));
        return true;
    }
}
