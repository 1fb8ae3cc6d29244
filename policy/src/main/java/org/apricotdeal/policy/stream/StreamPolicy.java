package org.apricotdeal.policy.stream;

/**
 * Deadlines and bounds of one token stream.
 *
 * @param firstTokenMillis longest silence of an attempt before its first token
 * @param progressMillis longest silence of an attempt between two tokens
 * @param probeMillis longest wait for a probe's answer
 * @param deadlineMillis monotonic time after which the stream is given up
 * @param maxAttempts most attempts; resuming after a preemption does not count
 * @param excludeMillis time for which a replica that failed the stream is not chosen again
 * @param maxEarlyTokens most tokens that are held back while an earlier one is missing
 */
public record StreamPolicy(
        long firstTokenMillis,
        long progressMillis,
        long probeMillis,
        long deadlineMillis,
        int maxAttempts,
        long excludeMillis,
        int maxEarlyTokens) {}
