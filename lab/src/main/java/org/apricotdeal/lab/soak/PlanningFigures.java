package org.apricotdeal.lab.soak;

/**
 * What planning runs measured.
 *
 * @param runs number of runs
 * @param steps scheduler tasks executed
 * @param faults faults drawn
 * @param vmLosses VMs killed while they were members of a whole replica
 * @param replicaDownMillis time that wanted replicas were not whole, over all replicas, while faults went on
 * @param replicaWantedMillis time that replicas were wanted, over all replicas, while faults went on
 * @param strandedAcceleratorMillis time that accelerators of running VMs were outside any whole replica
 * @param acceleratorMillis time of all accelerators of running VMs
 * @param convergeMillis longest time from the last fault until all was repaired
 * @param servableChecks servable replicas checked against the engines' truth
 * @param orderChecks orders checked
 */
public record PlanningFigures(
        int runs,
        long steps,
        long faults,
        long vmLosses,
        long replicaDownMillis,
        long replicaWantedMillis,
        long strandedAcceleratorMillis,
        long acceleratorMillis,
        long convergeMillis,
        long servableChecks,
        long orderChecks) {
    /** No run. */
    public static final PlanningFigures NONE = new PlanningFigures(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /**
     * Adds the figures of other runs.
     *
     * @param other the other runs
     * @return the sums, and the longest time to converge
     */
    public PlanningFigures plus(PlanningFigures other) {
        return new PlanningFigures(
                runs + other.runs,
                steps + other.steps,
                faults + other.faults,
                vmLosses + other.vmLosses,
                replicaDownMillis + other.replicaDownMillis,
                replicaWantedMillis + other.replicaWantedMillis,
                strandedAcceleratorMillis + other.strandedAcceleratorMillis,
                acceleratorMillis + other.acceleratorMillis,
                Math.max(convergeMillis, other.convergeMillis),
                servableChecks + other.servableChecks,
                orderChecks + other.orderChecks);
    }

    @Override
    public String toString() {
        return String.format(
                java.util.Locale.ROOT,
                "%d runs, %d steps, %d faults, %d VM losses; replicas down %.1f%% of the wanted time, %.0f ms for each"
                        + " VM loss; %.1f%% of running accelerators stranded; longest repair after the last fault %d ms;"
                        + " %d servable replicas and %d orders checked",
                runs,
                steps,
                faults,
                vmLosses,
                100.0 * replicaDownMillis / Math.max(1, replicaWantedMillis),
                (double) replicaDownMillis / Math.max(1, vmLosses),
                100.0 * strandedAcceleratorMillis / Math.max(1, acceleratorMillis),
                convergeMillis,
                servableChecks,
                orderChecks);
    }
}
