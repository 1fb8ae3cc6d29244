package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.model.UpstreamVm;

/** Builds the targets: open replicas whose members are all available, and available VMs of plain services. */
public final class TargetBuilder {
    private TargetBuilder() {}

    /**
     * Builds the targets of all upstreams.
     *
     * @param table state of the VMs
     * @param catalogue catalogue in force
     * @param nowMillis monotonic time
     * @return targets in no particular order
     */
    public static List<Target> build(VmTable table, RelayCatalogue catalogue, long nowMillis) {
        List<Target> targets = new ArrayList<>();
        for (UpstreamEntry upstream : catalogue.upstreams().values()) {
            List<UpstreamVm> vms = table.all().stream()
                    .filter(vm -> vm.upstream().equals(upstream.id()))
                    .toList();
            if (upstream.engine().isPresent()) {
                addReplicas(table, upstream, upstream.engine().get(), vms, nowMillis, targets);
            } else {
                addServices(table, upstream, vms, nowMillis, targets);
            }
        }
        return targets;
    }

    /**
     * Returns the queues that VMs serve by their entries and reports, whether or not this node reaches them.
     *
     * @param table state of the VMs
     * @param catalogue catalogue in force
     * @return queues with at least one target
     */
    public static Set<QueueId> listedQueues(VmTable table, RelayCatalogue catalogue) {
        Set<QueueId> queues = new HashSet<>();
        for (UpstreamEntry upstream : catalogue.upstreams().values()) {
            List<UpstreamVm> vms = table.all().stream()
                    .filter(vm -> vm.upstream().equals(upstream.id()) && !vm.leaving())
                    .toList();
            if (upstream.engine().isEmpty() && !vms.isEmpty()) {
                queues.add(new QueueId(upstream.id(), Optional.empty()));
            }
            upstream.engine().ifPresent(engine -> ReplicaGroups.of(vms, engine).stream()
                    .filter(group -> group.open() && group.ready())
                    .forEach(group -> queues.add(new QueueId(upstream.id(), Optional.of(group.model())))));
        }
        return queues;
    }

    private static void addReplicas(
            VmTable table,
            UpstreamEntry upstream,
            EngineProfile engine,
            List<UpstreamVm> vms,
            long nowMillis,
            List<Target> targets) {
        for (ReplicaGroups.ReplicaGroup group : ReplicaGroups.of(vms, engine)) {
            if (!group.open() || !group.ready() || !allAvailable(table, group, nowMillis)) {
                continue;
            }
            UpstreamVm head = group.head().orElseThrow();
            targets.add(new Target(
                    new TargetId(head.id(), group.id().epoch()),
                    new QueueId(upstream.id(), Optional.of(group.model())),
                    head.address(),
                    head.release(),
                    head.failureDomain(),
                    engine.slotsPerReplica(),
                    group.members().stream().map(UpstreamVm::id).toList(),
                    engine.memoryTokens()));
        }
    }

    private static boolean allAvailable(VmTable table, ReplicaGroups.ReplicaGroup group, long nowMillis) {
        for (UpstreamVm member : group.members()) {
            if (!isAvailable(table, member, nowMillis)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAvailable(VmTable table, UpstreamVm vm, long nowMillis) {
        return !vm.leaving() && !table.isUnresponsive(vm.id()) && !table.isSuspected(vm.id(), nowMillis);
    }

    private static void addServices(
            VmTable table, UpstreamEntry upstream, List<UpstreamVm> vms, long nowMillis, List<Target> targets) {
        for (UpstreamVm vm : vms) {
            if (!isAvailable(table, vm, nowMillis)) {
                continue;
            }
            List<VmId> members = List.of(vm.id());
            targets.add(new Target(
                    new TargetId(vm.id(), vm.startedWallMillis()),
                    new QueueId(upstream.id(), Optional.empty()),
                    vm.address(),
                    vm.release(),
                    vm.failureDomain(),
                    vm.slots(),
                    members,
                    OptionalLong.empty()));
        }
    }
}
