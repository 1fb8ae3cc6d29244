package org.apricotdeal.policy.stream;

import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.id.ReplicaId;

/** What one token stream asks its owner to do. Exactly one of {@link Finish} and {@link Fail} ends it. */
public sealed interface StreamAction {
    /**
     * Choose a replica; answered by {@link StreamEvent.ReplicaChosen} or {@link StreamEvent.NoReplica}.
     *
     * @param preferred the replica that has served the stream and still does, or null
     * @param excluded replicas that have failed the stream
     */
    record ChooseReplica(ReplicaId preferred, Set<ReplicaId> excluded) implements StreamAction {}

    /**
     * Open the stream on a new connection.
     *
     * @param attempt number of the attempt, from 1
     * @param replica the replica
     * @param generated tokens delivered so far, to resume after
     */
    record Open(int attempt, ReplicaId replica, List<String> generated) implements StreamAction {
        /** Copies the tokens. */
        public Open {
            generated = List.copyOf(generated);
        }
    }

    /**
     * Cancel an attempt; what still arrives from it will be dropped.
     *
     * @param attempt number of the attempt
     */
    record CancelAttempt(int attempt) implements StreamAction {}

    /**
     * Ask the replica's first member, on a new connection, whether the replica serves.
     *
     * @param attempt number of the silent attempt
     * @param replica the replica
     */
    record Probe(int attempt, ReplicaId replica) implements StreamAction {}

    /**
     * Deliver a token to the caller.
     *
     * @param offset the token's offset, each one higher than the last
     * @param text its text
     */
    record Deliver(int offset, String text) implements StreamAction {}

    /**
     * The stream gave up its place and waits for {@link StreamEvent.Resume}.
     *
     * @param delivered tokens delivered so far
     */
    record Paused(int delivered) implements StreamAction {}

    /**
     * The answer is whole.
     *
     * @param reason the engine's reason
     * @param delivered tokens delivered
     */
    record Finish(String reason, int delivered) implements StreamAction {}

    /**
     * The answer is not whole, and no more of it will come.
     *
     * @param reason why
     * @param delivered tokens delivered; 0 with {@link StreamEnd#NOT_RUN}
     */
    record Fail(StreamEnd reason, int delivered) implements StreamAction {}
}
