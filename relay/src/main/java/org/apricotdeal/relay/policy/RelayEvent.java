package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.Map;

import org.apricotdeal.relay.model.RelayCatalogue;

/** What the dispatcher takes note of. */
public sealed interface RelayEvent {
    /**
     * A request waits to be served.
     *
     * @param arrival the request
     */
    record RequestArrived(Arrival arrival) implements RelayEvent {}

    /**
     * The first bytes of an answer have come.
     *
     * @param id the exchange
     */
    record AnswerStarted(ExchangeId id) implements RelayEvent {}

    /**
     * The caller has its final answer, or the exchange ended otherwise.
     *
     * @param id the exchange
     */
    record RequestFinished(ExchangeId id) implements RelayEvent {}

    /**
     * An attempt ended without a final answer.
     *
     * @param id the exchange
     * @param outcome how it ended
     */
    record AttemptFailed(ExchangeId id, AttemptOutcome outcome) implements RelayEvent {}

    /**
     * The caller has left.
     *
     * @param id the exchange
     */
    record CallerDisconnected(ExchangeId id) implements RelayEvent {}

    /**
     * A catalogue is in force, whose engine profiles give the first estimates for new lines.
     *
     * @param catalogue the catalogue
     */
    record CatalogueChanged(RelayCatalogue catalogue) implements RelayEvent {}

    /**
     * The targets have changed.
     *
     * @param targets all targets
     */
    record TargetsChanged(List<Target> targets) implements RelayEvent {}

    /**
     * The other nodes have told what they run.
     *
     * @param running number of their requests at each target
     */
    record PeerLoadsChanged(Map<TargetId, Integer> running) implements RelayEvent {}

    /**
     * The registered nodes were counted.
     *
     * @param nodeCount number of nodes, this one among them
     */
    record NodeCountChanged(int nodeCount) implements RelayEvent {}

    /** Time has passed. */
    record Tick() implements RelayEvent {}
}
