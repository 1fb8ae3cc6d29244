package org.apricotdeal.relay.poison;

import org.apricotdeal.relay.model.PromptPartId;

/**
 * A single request that shows whether a blamed part still crashes VMs.
 *
 * @param served what the VM of the trial serves
 * @param part the blamed part
 * @param startedMillis monotonic time of the last trial
 * @param count number of trials so far
 * @param passed true once the part has been answered in a trial
 */
public record PartTrial(ModelRelease served, PromptPartId part, long startedMillis, int count, boolean passed) {
    /** Identifies what is tried. */
    record Key(ModelRelease served, PromptPartId part) {}

    Key key() {
        return new Key(served, part);
    }

    /** Merges another node's knowledge of the same trials. */
    PartTrial merge(PartTrial other) {
        PartTrial latest = other.count > count ? other : this;
        return new PartTrial(served, part, latest.startedMillis, latest.count, passed || other.passed);
    }
}
