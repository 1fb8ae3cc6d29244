package org.apricotdeal.relay.health;

/**
 * Limits how many VMs a node asks for their state, so that what it spends on doubts does not grow with the number of doubts.
 *
 * <p>Load pattern: many VMs are lost at once, or a node that is late itself doubts many of them. A token bucket holds the
 * reports of a large replica and those of the sample by which a node finds out that it is isolated; a node that is late pays more
 * for each report.
 */
public final class ReportBudget {
    private static final double REPORTS_PER_SECOND = 20;
    private static final double MAX_REPORTS = 40;

    /** Delay of the node that doubles the price of a report. */
    private static final double DOUBLING_DELAY_MILLIS = 100;

    private double reports = MAX_REPORTS;
    private long filledMillis = Long.MIN_VALUE / 2;

    /**
     * Takes a report out of the budget.
     *
     * @param delayMillis delay of the node
     * @param nowMillis monotonic time
     * @return false if the VM must not be asked now
     */
    public boolean tryTake(long delayMillis, long nowMillis) {
        reports = Math.min(MAX_REPORTS, reports + REPORTS_PER_SECOND * (nowMillis - filledMillis) / 1_000);
        filledMillis = nowMillis;
        double price = 1 + delayMillis / DOUBLING_DELAY_MILLIS;
        if (reports < price) {
            return false;
        }
        reports -= price;
        return true;
    }
}
