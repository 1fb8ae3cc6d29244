package org.apricotdeal.policy.admission;

import java.util.Objects;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A request as it reaches the dispatcher.
 *
 * @param id the request, unique within the node
 * @param caller who asks
 * @param classId its class
 * @param upstream the upstream asked for
 * @param prefixHash hash of the prompt's prefix; 0 where there is none
 * @param promptTokens length of the prompt in tokens; 0 for a plain service
 * @param estimatedTokens tokens that the answer is expected to have, as the caller says; 1 for a plain service
 * @param deadlineMillis time from arrival after which the answer is worthless; 0 for the class's own deadline
 * @param hops how often it was forwarded between failure domains
 * @param resumable whether it can go on elsewhere after a break: true for token streams and idempotent calls
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
     * @param caller who asks
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
         * Sets what is asked for.
         *
         * @param ofClass class of the request
         * @param from the upstream
         * @return this builder
         */
        public Builder asks(ClassId ofClass, UpstreamId from) {
            classId = ofClass;
            upstream = from;
            return this;
        }

        /**
         * Describes the prompt.
         *
         * @param hash hash of its prefix; 0 where there is none
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
         * @param fromArrivalMillis time from arrival; 0 for the class's own deadline
         * @return this builder
         */
        public Builder deadlineMillis(long fromArrivalMillis) {
            deadlineMillis = fromArrivalMillis;
            return this;
        }

        /**
         * Sets how often the request was forwarded.
         *
         * @param count number of times, 0 or 1
         * @return this builder
         */
        public Builder hops(int count) {
            hops = count;
            return this;
        }

        /**
         * Sets whether the request can go on elsewhere after a break.
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
