package org.apricotdeal.relay.poison;

/**
 * A single request that shows whether a blamed trait still crashes VMs.
 *
 * @param tried the blamed trait, and what the VM of the trial serves
 * @param startedMillis monotonic time of the last trial
 * @param count number of trials so far
 * @param passed true once the trait has been answered in a trial
 */
public record TraitTrial(ServedTrait tried, long startedMillis, int count, boolean passed) {
    /** Merges another node's knowledge of the same trials. */
    TraitTrial merge(TraitTrial other) {
        TraitTrial latest = other.count > count ? other : this;
        return new TraitTrial(tried, latest.startedMillis, latest.count, passed || other.passed);
    }

    TraitTrial withPassed() {
        return new TraitTrial(tried, startedMillis, count, true);
    }
}
