package org.apricotdeal.lab.load;

/** One stream of requests of one caller and class. */
public sealed interface Work {
    /**
     * Returns what all kinds of work have.
     *
     * @return the common part
     */
    Common common();

    /**
     * What all kinds of work have.
     *
     * @param name name of the work, unique in its plan
     * @param caller name of the caller, for tables
     * @param key the caller's key, sent as bearer token
     * @param className class of the work
     * @param upstream the upstream asked for
     * @param requestsPerSecond mean rate of arrivals
     * @param inTimeMillis time to the first token, or to the answer of a booking, that counts as in time
     * @param deadlineMillis deadline sent with each request
     */
    record Common(
            String name,
            String caller,
            String key,
            String className,
            String upstream,
            double requestsPerSecond,
            long inTimeMillis,
            long deadlineMillis) {}

    /**
     * Streamed completions.
     *
     * @param common what all kinds of work have
     * @param promptChars length of a prompt
     * @param prefixes number of distinct prompt beginnings; requests of one beginning share a cached prefix
     * @param maxTokens tokens of an answer
     */
    record Completions(Common common, int promptChars, int prefixes, int maxTokens) implements Work {}

    /**
     * Bookings, each with an idempotency key of its own.
     *
     * @param common what all kinds of work have
     * @param path path at the plain service, with a leading slash
     */
    record Bookings(Common common, String path) implements Work {}
}
