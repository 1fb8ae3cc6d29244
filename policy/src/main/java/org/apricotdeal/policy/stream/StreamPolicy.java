package org.apricotdeal.policy.stream;

/**
 * Timeouts and limits of one token stream.
 *
 * @param firstTokenMillis maximum time of an attempt until its first token; the replica is then probed
 * @param progressMillis maximum time of an attempt between two tokens; the replica is then probed
 * @param probeMillis maximum time to wait for the result of a probe
 * @param deadlineMillis monotonic time at which the stream fails if it has not ended
 * @param maxAttempts maximum number of attempts; attempts that resume a preempted stream are not counted
 * @param excludeMillis time for which a replica that failed the stream is not chosen again
 * @param maxBufferedTokens maximum number of tokens buffered while an earlier token is missing
 */
public record StreamPolicy(
        long firstTokenMillis,
        long progressMillis,
        long probeMillis,
        long deadlineMillis,
        int maxAttempts,
        long excludeMillis,
        int maxBufferedTokens) {}
