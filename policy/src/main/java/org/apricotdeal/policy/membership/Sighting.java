package org.apricotdeal.policy.membership;

import java.util.Objects;

import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.NodeId;

/**
 * The newest state that this node knows of a VM, and when it was true: at some moment between {@code observedMillis} and
 * {@code receivedMillis} of this node's clock.
 *
 * @param source the prober that saw it
 * @param state the state; null for a plain service
 * @param observedMillis lower bound of the moment
 * @param receivedMillis upper bound of the moment
 */
record Sighting(NodeId source, EngineState state, long observedMillis, long receivedMillis) {
    /**
     * Takes in another sighting. The same state moves the bounds on. Another state replaces this one if the same prober
     * saw it later, or if it was certainly true later: older news never replaces newer.
     */
    Sighting merge(Sighting other) {
        if (sameState(state, other.state)) {
            EngineState newest = other.observedMillis >= observedMillis ? other.state : state;
            return new Sighting(
                    other.source,
                    newest,
                    Math.max(observedMillis, other.observedMillis),
                    Math.max(receivedMillis, other.receivedMillis));
        }
        boolean sameSource = source.equals(other.source) && other.observedMillis >= observedMillis;
        boolean certainlyLater = other.observedMillis >= receivedMillis;
        return sameSource || certainlyLater ? other : this;
    }

    /** Compares states but for their load. */
    static boolean sameState(EngineState one, EngineState other) {
        return Objects.equals(withoutLoad(one), withoutLoad(other));
    }

    /** Returns the state without its load, which changes all the time. */
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
