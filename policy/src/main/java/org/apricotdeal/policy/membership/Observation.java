package org.apricotdeal.policy.membership;

import java.util.Objects;

import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.NodeId;

/**
 * The newest state of a VM that this node knows. The VM was in this state at some time between {@code observedMillis} and
 * {@code receivedMillis} on this node's clock.
 *
 * @param source node that probed the VM
 * @param state state of the VM's engine; null for a plain service
 * @param observedMillis lower bound of the time of the observation
 * @param receivedMillis upper bound of the time of the observation
 */
record Observation(NodeId source, EngineState state, long observedMillis, long receivedMillis) {
    /**
     * Merges two observations. If the states are the same, the bounds advance. A different state replaces this one only if
     * the same prober observed it later or it was certainly observed later, so that no older state replaces a newer one.
     */
    Observation merge(Observation other) {
        if (equalsIgnoringLoad(state, other.state)) {
            EngineState newest = other.observedMillis >= observedMillis ? other.state : state;
            return new Observation(
                    other.source,
                    newest,
                    Math.max(observedMillis, other.observedMillis),
                    Math.max(receivedMillis, other.receivedMillis));
        }
        boolean laterFromSameSource = source.equals(other.source) && other.observedMillis >= observedMillis;
        boolean certainlyLater = other.observedMillis >= receivedMillis;
        return laterFromSameSource || certainlyLater ? other : this;
    }

    /** Compares two states except for their loads. */
    static boolean equalsIgnoringLoad(EngineState one, EngineState other) {
        return Objects.equals(withoutLoad(one), withoutLoad(other));
    }

    /** Returns a state without its load, which changes constantly. */
    static EngineState withoutLoad(EngineState state) {
        if (state == null) {
            return null;
        }
        return new EngineState(
                state.vm(),
                state.bootId(),
                state.phase(),
                state.replica(),
                state.generation(),
                state.members(),
                state.fence(),
                state.loadedModel(),
                EngineLoad.NONE);
    }
}
