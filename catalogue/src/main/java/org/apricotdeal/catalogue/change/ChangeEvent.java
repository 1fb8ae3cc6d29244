package org.apricotdeal.catalogue.change;

import org.apricotdeal.platform.call.StoreReply;

/** What drives a {@link ChangeMachine}. */
public sealed interface ChangeEvent {
    /** The operator has sent the change. */
    record Start() implements ChangeEvent {}

    /**
     * The key-value service has replied, or a call has failed.
     *
     * @param reply the reply
     */
    record Replied(StoreReply reply) implements ChangeEvent {}

    /** The wait that the machine asked for is over. */
    record Waited() implements ChangeEvent {}
}
