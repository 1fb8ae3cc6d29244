package org.apricotdeal.policy.admission;

import java.util.Objects;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A request as it arrives at the dispatcher.
 *
 * @param id the request, unique within the node
 * @param caller caller that sent the request
 * @param classId class of the request
 * @param upstream upstream that the request is for
 * @param prefixHash hash of the prompt's prefix; 0 if it has none
 * @param promptTokens length of the prompt in tokens; 0 for a plain service
 * @param estimatedTokens length of the answer in tokens as estimated by the caller; 1 for a plain service
 * @param deadlineMillis time from arrival after which the answer is of no use; 0 to use the class's deadline
 * @param hops how many times the request was forwarded between failure domains
 * @param resumable whether another target can continue it after a failed attempt: true for token streams and idempotent
 *     calls
 */
public record Arrival(
        RequestId id,
        CallerId caller,
        ClassId classId,
        UpstreamId upstream,
        long prefixHash,
        int promptTokens,
        int estimatedTokens,
        long deadlineMillis,
        int hops,
        boolean resumable) {
    /**
     * Starts building an arrival.
     *
     * @param id the request
     * @param caller caller that sent the request
     * @return a builder
     */
    public static Builder builder(RequestId id, CallerId caller) {
        return new Builder(id, caller);
    }

    /** Builds arrivals. Class and upstream are required. */
    public static final class Builder {
        private final RequestId id;
        private final CallerId caller;
        private ClassId classId;
        private UpstreamId upstream;
        private long prefixHash;
        private int promptTokens;
        private int estimatedTokens = 1;
        private long deadlineMillis;
        private int hops;
        private boolean resumable;

        private Builder(RequestId id, CallerId caller) {
            this.id = id;
            this.caller = caller;
        }

        /**
         * Sets the class and the upstream of the request.
         *
         * @param requestedClass class of the request
         * @param requestedUpstream upstream that the request is for
         * @return this builder
         */
        public Builder classAndUpstream(ClassId requestedClass, UpstreamId requestedUpstream) {
            classId = requestedClass;
            upstream = requestedUpstream;
            return this;
        }

        /**
         * Describes the prompt.
         *
         * @param hash hash of its prefix; 0 if it has none
         * @param tokens its length in tokens
         * @return this builder
         */
        public Builder prompt(long hash, int tokens) {
            prefixHash = hash;
            promptTokens = tokens;
            return this;
        }

        /**
         * Sets the expected length of the answer.
         *
         * @param tokens length in tokens, at least 1
         * @return this builder
         */
        public Builder estimatedTokens(int tokens) {
            estimatedTokens = Math.max(1, tokens);
            return this;
        }

        /**
         * Sets the deadline.
         *
         * @param afterArrivalMillis time from arrival; 0 to use the class's deadline
         * @return this builder
         */
        public Builder deadlineMillis(long afterArrivalMillis) {
            deadlineMillis = afterArrivalMillis;
            return this;
        }

        /**
         * Sets how many times the request was forwarded.
         *
         * @param count number of times, 0 or 1
         * @return this builder
         */
        public Builder hops(int count) {
            hops = count;
            return this;
        }

        /**
         * Sets whether another target can continue the request after a failed attempt.
         *
         * @param canResume true for token streams and idempotent calls
         * @return this builder
         */
        public Builder resumable(boolean canResume) {
            resumable = canResume;
            return this;
        }

        /**
         * Builds the arrival.
         *
         * @return the arrival
         */
        public Arrival build() {
            return new Arrival(
                    id,
                    caller,
                    Objects.requireNonNull(classId),
                    Objects.requireNonNull(upstream),
                    prefixHash,
                    promptTokens,
                    estimatedTokens,
                    deadlineMillis,
                    hops,
                    resumable);
        }
    }
}
