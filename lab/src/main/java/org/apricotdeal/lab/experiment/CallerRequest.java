package org.apricotdeal.lab.experiment;

import org.apricotdeal.catalogue.model.ClassEntry;

/** One request as its caller sees it, over all its retries. */
final class CallerRequest {
    final long number;
    final CallerSpec caller;
    final LoadSpec load;
    final long firstAskedMicros;
    final int outputTokens;
    final int estimatedTokens;
    final long prefixHash;
    final long deadlineMicros;
    final boolean flooding;
    final int priority;
    int asked;
    long firstTokenMicros = -1;
    long finishedMicros = -1;
    boolean refused;
    boolean failed;
    long generated;
    long generatedLate;

    CallerRequest(
            long number, CallerSpec caller, LoadSpec load, Sample sample, ClassEntry classEntry, boolean flooding) {
        this.number = number;
        this.caller = caller;
        this.load = load;
        this.firstAskedMicros = sample.askedMicros();
        this.outputTokens = sample.outputTokens();
        this.estimatedTokens = sample.estimatedTokens();
        this.prefixHash = sample.prefixHash();
        this.deadlineMicros = sample.askedMicros() + classEntry.deadlineMillis() * 1_000;
        this.priority = classEntry.priority();
        this.flooding = flooding;
    }

    /** Random properties of a request. */
    record Sample(long askedMicros, int outputTokens, int estimatedTokens, long prefixHash) {}

    boolean isInTime(long targetMillis) {
        return finishedMicros >= 0
                && finishedMicros <= deadlineMicros
                && firstTokenMicros - firstAskedMicros <= targetMillis * 1_000;
    }

    /** Counts a token generated for the request, wherever it was. */
    void generatedToken(long nowMicros) {
        generated++;
        if (nowMicros > deadlineMicros) {
            generatedLate++;
        }
    }

    /** Returns tokens that served nobody: past the deadline, repeated, or of an answer that never became whole. */
    long wastedTokens() {
        if (failed || refused) {
            return generated;
        }
        return finishedMicros < 0 ? 0 : generatedLate + Math.max(0, generated - generatedLate - outputTokens);
    }
}
