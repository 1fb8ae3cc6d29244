package org.apricotdeal.catalogue.change;

import org.apricotdeal.platform.call.StoreCall;

/** What a {@link ChangeMachine} asks its owner to do. */
public sealed interface ChangeAction {
    /**
     * Call the key-value service and hand back the reply.
     *
     * @param call the call
     */
    record Call(StoreCall call) implements ChangeAction {}

    /**
     * Wait, then hand in {@link ChangeEvent.Waited}.
     *
     * @param millis how long
     */
    record Wait(long millis) implements ChangeAction {}

    /**
     * Tell the operator; the machine has ended.
     *
     * @param outcome how the change ended
     */
    record Finish(ChangeOutcome outcome) implements ChangeAction {}
}
