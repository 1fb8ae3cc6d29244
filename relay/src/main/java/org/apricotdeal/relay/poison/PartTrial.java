package org.apricotdeal.relay.poison;

/**
 * A single request that shows whether a blamed part still crashes VMs.
 *
 * @param tried the blamed part, and what the VM of the trial serves
 * @param startedMillis monotonic time of the last trial
 * @param count number of trials so far
 * @param passed true once the part has been answered in a trial
 */
public record PartTrial(ServedPart tried, long startedMillis, int count, boolean passed) {
    /** Merges another node's knowledge of the same trials. */
    PartTrial merge(PartTrial other) {
        PartTrial latest = other.count > count ? other : this;
        return new PartTrial(tried, latest.startedMillis, latest.count, passed || other.passed);
    }

    PartTrial withPassed() {
        return new PartTrial(tried, startedMillis, count, true);
    }
}
