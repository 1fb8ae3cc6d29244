package org.apricotdeal.policy.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetId;
import org.apricotdeal.policy.routing.TargetState;

/** All upstreams with their targets and classes, updated from the catalogue and from membership. */
final class UpstreamRegistry {
    private static final double INITIAL_MODEL_MILLIS_PER_TOKEN = 30;
    private static final double INITIAL_SERVICE_MILLIS_PER_CALL = 50;
    private static final ClassId SINGLE_CLASS = new ClassId("all");

    private final AdmissionOptions options;
    private final Map<UpstreamId, UpstreamState> upstreams = new HashMap<>();
    private final Map<TargetId, TargetState> targets = new HashMap<>();
    private List<Target> currentTargets = List.of();
    private CallerWeighting weighting = CallerWeighting.WEIGHTED;

    UpstreamRegistry(AdmissionOptions options) {
        this.options = options;
    }

    /** Applies a catalogue. Upstreams and classes that it no longer contains stay until their requests have ended. */
    void updateCatalogue(Catalogue catalogue) {
        setWeighting(catalogue.policy().callerWeighting());
        for (ModelEntry model : catalogue.all(ModelEntry.class)) {
            upstreams.computeIfAbsent(model.id(), id -> new UpstreamState(id, INITIAL_MODEL_MILLIS_PER_TOKEN));
        }
        for (ServiceEntry service : catalogue.all(ServiceEntry.class)) {
            upstreams.computeIfAbsent(service.id(), id -> new UpstreamState(id, INITIAL_SERVICE_MILLIS_PER_CALL));
        }
        for (UpstreamState upstream : upstreams.values()) {
            updateClasses(upstream, catalogue.all(ClassEntry.class));
        }
        assignTargets();
    }

    private void setWeighting(CallerWeighting changed) {
        if (changed == weighting) {
            return;
        }
        weighting = changed;
        for (UpstreamState upstream : upstreams.values()) {
            for (ClassState state : upstream.classes) {
                state.queue.setFairness(newFairness());
            }
        }
    }

    private void updateClasses(UpstreamState upstream, List<ClassEntry> entries) {
        if (!options.classes()) {
            int maxQueued = entries.stream().mapToInt(ClassEntry::maxQueued).sum();
            updateClass(upstream, new ClassEntry(SINGLE_CLASS, "none", 0, 1, 0, 0, false, maxQueued));
            return;
        }
        for (ClassEntry entry : entries) {
            updateClass(upstream, entry);
        }
    }

    private void updateClass(UpstreamState upstream, ClassEntry entry) {
        ClassState state = upstream.classById.get(entry.id());
        if (state == null) {
            upstream.addClass(new ClassState(entry, new ClassQueue(newFairness())));
            return;
        }
        state.entry = entry;
        upstream.sortClasses();
    }

    private CallerFairness newFairness() {
        if (!options.callerFairness()) {
            return new ArrivalOrder();
        }
        return switch (weighting) {
            case WEIGHTED -> new WeightedFairness();
            case SMALL_FIRST -> new SmallFirstFairness();
        };
    }

    /** Replaces the list of targets. Targets that are no longer listed get no new requests. */
    void updateTargets(List<Target> changed) {
        currentTargets = changed;
        assignTargets();
        targets.values().removeIf(state -> state.inFlight() == 0 && !currentTargets.contains(state.target()));
    }

    private void assignTargets() {
        for (UpstreamState upstream : upstreams.values()) {
            upstream.targets.clear();
        }
        for (Target target : currentTargets) {
            TargetState state = targets.computeIfAbsent(target.id(), id -> new TargetState(target));
            state.update(target);
            UpstreamState upstream = upstreams.get(target.upstream());
            if (upstream != null) {
                upstream.targets.add(state);
            }
        }
    }

    /** Returns an upstream, or null if the catalogue contains none with that id. */
    UpstreamState find(UpstreamId id) {
        return upstreams.get(id);
    }

    /** Returns the state of a target, or null if it is unknown. */
    TargetState target(TargetId id) {
        return targets.get(id);
    }

    /** Returns a class at an upstream, or null if the catalogue contains none with that id. */
    ClassState classOf(UpstreamState upstream, ClassId id) {
        return upstream.classById.get(options.classes() ? id : SINGLE_CLASS);
    }

    Collection<UpstreamState> all() {
        return upstreams.values();
    }

    boolean isSmallFirst() {
        return weighting == CallerWeighting.SMALL_FIRST;
    }
}
