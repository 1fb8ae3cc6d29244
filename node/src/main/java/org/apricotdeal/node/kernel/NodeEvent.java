package org.apricotdeal.node.kernel;

import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;

/** A change that several duties of a node take note of. */
public sealed interface NodeEvent {
    /**
     * A catalogue version came into force.
     *
     * @param catalogue the catalogue
     */
    record CatalogueAdopted(Catalogue catalogue) implements NodeEvent {}

    /**
     * The VM list was read.
     *
     * @param vms all VMs
     */
    record VmsListed(List<Vm> vms) implements NodeEvent {}

    /**
     * What is known of the upstream VMs' engines changed.
     *
     * @param engines what is known, by VM
     */
    record EnginesProbed(Map<VmId, ProbedVm> engines) implements NodeEvent {}

    /** The node begins to stop: no new work is taken. */
    record Draining() implements NodeEvent {}

    /**
     * What is known of one upstream VM.
     *
     * @param vm the VM as listed
     * @param state its engine's last report; null for a plain service
     * @param alive whether it counts as alive
     * @param seenAtMillis monotonic time of the last sign of life
     */
    record ProbedVm(Vm vm, EngineState state, boolean alive, long seenAtMillis) {}
}
