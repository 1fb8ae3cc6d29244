package org.apricotdeal.policy.stream;

import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.kernel.id.ReplicaId;

/** What one token stream is told. Events of attempts that are over are dropped by their number. */
public sealed interface StreamEvent {
    /** The stream begins. */
    record Start() implements StreamEvent {}

    /**
     * A replica has room for the stream.
     *
     * @param replica the replica
     */
    record ReplicaChosen(ReplicaId replica) implements StreamEvent {}

    /** No replica has room, and none will in time. */
    record NoReplica() implements StreamEvent {}

    /**
     * A token arrived.
     *
     * @param attempt number of the attempt
     * @param offset the token's offset in the whole answer, from 0
     * @param text its text
     */
    record Token(int attempt, int offset, String text) implements StreamEvent {}

    /**
     * The engine ended the answer.
     *
     * @param attempt number of the attempt
     * @param reason why, such as {@code stop} or {@code length}
     * @param tokenCount tokens of the whole answer: the offset after its last token
     */
    record Finished(int attempt, String reason, int tokenCount) implements StreamEvent {}

    /**
     * An attempt failed.
     *
     * @param attempt number of the attempt
     * @param failure how
     */
    record Failed(int attempt, StreamFailure failure) implements StreamEvent {}

    /**
     * The answer to a probe on a new connection.
     *
     * @param attempt number of the attempt that was probed
     * @param serves whether the replica answered and is whole
     */
    record Probed(int attempt, boolean serves) implements StreamEvent {}

    /**
     * A replica lost a member or stopped serving.
     *
     * @param replica the replica
     */
    record ReplicaLost(ReplicaId replica) implements StreamEvent {}

    /** More urgent work needs the stream's place. */
    record Preempt() implements StreamEvent {}

    /** There is room again for a preempted stream. */
    record Resume() implements StreamEvent {}

    /** The caller has gone. */
    record Cancelled() implements StreamEvent {}

    /** Time has passed; expected at least every 50 ms. */
    record Tick() implements StreamEvent {}
}
