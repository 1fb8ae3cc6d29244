package org.apricotdeal.policy.stream;

import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.kernel.id.ReplicaId;

/** Events that a token stream handles. Events of attempts that have ended are recognised by their number and ignored. */
public sealed interface StreamEvent {
    /** The stream starts. */
    record Start() implements StreamEvent {}

    /**
     * A replica with capacity for the stream was chosen.
     *
     * @param replica the chosen replica
     */
    record ReplicaChosen(ReplicaId replica) implements StreamEvent {}

    /** No replica has capacity for the stream, and none will in time. */
    record NoReplica() implements StreamEvent {}

    /**
     * A token arrived.
     *
     * @param attempt number of the attempt
     * @param offset offset of the token in the whole answer, starting at 0
     * @param text text of the token
     */
    record Token(int attempt, int offset, String text) implements StreamEvent {}

    /**
     * The engine finished the answer.
     *
     * @param attempt number of the attempt
     * @param reason finish reason, such as {@code stop} or {@code length}
     * @param tokenCount number of tokens in the whole answer
     */
    record Finished(int attempt, String reason, int tokenCount) implements StreamEvent {}

    /**
     * An attempt failed.
     *
     * @param attempt number of the attempt
     * @param failure kind and description of the failure
     */
    record Failed(int attempt, StreamFailure failure) implements StreamEvent {}

    /**
     * The result of a probe on a new connection.
     *
     * @param attempt number of the probed attempt
     * @param serves whether the replica answered and has all its members
     */
    record Probed(int attempt, boolean serves) implements StreamEvent {}

    /**
     * A replica lost a member or stopped serving.
     *
     * @param replica the lost replica
     */
    record ReplicaLost(ReplicaId replica) implements StreamEvent {}

    /** Work with higher priority needs the stream's place on its replica. */
    record Preempt() implements StreamEvent {}

    /** Capacity is available again for the preempted stream. */
    record Resume() implements StreamEvent {}

    /** The caller has disconnected. */
    record Cancelled() implements StreamEvent {}

    /** Time has passed; expected at least every 50 ms. */
    record Tick() implements StreamEvent {}
}
