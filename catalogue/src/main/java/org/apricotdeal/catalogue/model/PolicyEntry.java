package org.apricotdeal.catalogue.model;

/**
 * Fleet-wide settings of the decisions.
 *
 * @param owner who may be asked about the entry
 * @param callerWeighting how a class is shared between its callers
 * @param retryBudgetShare retries allowed as a share of requests, from 0 to 1
 * @param suspectMillis silence after which a VM or node counts as suspect
 * @param failMillis silence after which a VM or node counts as failed
 * @param stragglerRatio how many times slower than the median of its peers a replica is before it gets less work
 */
public record PolicyEntry(
        String owner,
        CallerWeighting callerWeighting,
        double retryBudgetShare,
        long suspectMillis,
        long failMillis,
        double stragglerRatio)
        implements Entry {
    /** The settings that hold where a catalogue has no such entry. */
    public static final PolicyEntry DEFAULT =
            new PolicyEntry("apricotdeal", CallerWeighting.WEIGHTED, 0.1, 1_000, 3_000, 2.0);

    @Override
    public String key() {
        return "policy";
    }
}
