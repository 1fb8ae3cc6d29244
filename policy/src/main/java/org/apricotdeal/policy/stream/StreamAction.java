package org.apricotdeal.policy.stream;

import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.id.ReplicaId;

/** Actions that a token stream requests from the component that runs it. It ends with one {@link Finish} or {@link Fail}. */
public sealed interface StreamAction {
    /**
     * Choose a replica; answered by {@link StreamEvent.ReplicaChosen} or {@link StreamEvent.NoReplica}.
     *
     * @param preferred replica that served the last attempt and is not excluded, or null
     * @param excluded replicas that have recently failed the stream
     */
    record ChooseReplica(ReplicaId preferred, Set<ReplicaId> excluded) implements StreamAction {}

    /**
     * Open the stream on a new connection.
     *
     * @param attempt number of the attempt, starting at 1
     * @param replica replica to connect to
     * @param generated tokens delivered so far; the replica continues after them
     */
    record Open(int attempt, ReplicaId replica, List<String> generated) implements StreamAction {
        /** Makes an unmodifiable copy of the tokens. */
        public Open {
            generated = List.copyOf(generated);
        }
    }

    /**
     * Cancel an attempt; later events of the attempt are ignored.
     *
     * @param attempt number of the attempt
     */
    record CancelAttempt(int attempt) implements StreamAction {}

    /**
     * Query the replica's first member on a new connection to determine whether the replica is serving.
     *
     * @param attempt number of the stalled attempt
     * @param replica replica to probe
     */
    record Probe(int attempt, ReplicaId replica) implements StreamAction {}

    /**
     * Deliver a token to the caller.
     *
     * @param offset offset of the token in the whole answer; increases by one with each token
     * @param text text of the token
     */
    record Deliver(int offset, String text) implements StreamAction {}

    /**
     * The stream has released its place on the replica and waits for {@link StreamEvent.Resume}.
     *
     * @param delivered number of tokens delivered so far
     */
    record Paused(int delivered) implements StreamAction {}

    /**
     * The answer is complete.
     *
     * @param reason finish reason reported by the engine
     * @param delivered number of tokens delivered
     */
    record Finish(String reason, int delivered) implements StreamAction {}

    /**
     * The answer is incomplete, and no more tokens will be delivered.
     *
     * @param reason reason for the failure
     * @param delivered number of tokens delivered; 0 with {@link StreamEnd#NOT_RUN}
     */
    record Fail(StreamEnd reason, int delivered) implements StreamAction {}
}
