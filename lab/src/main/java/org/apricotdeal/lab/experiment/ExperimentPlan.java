package org.apricotdeal.lab.experiment;

import java.util.List;

import org.apricotdeal.catalogue.model.Catalogue;

/**
 * An experiment as read from its file.
 *
 * @param name the experiment's name
 * @param fleet the fleet
 * @param catalogue classes, callers and upstreams
 * @param loads ordinary load
 * @param callers callers' parts of the load
 * @param floods floods
 * @param faults faults
 * @param reportLagMillis age of load reports when they arrive
 * @param retriesAtOnce times that a refused caller asks again at once
 * @param warmUpSeconds time before measuring starts
 * @param measuredSeconds time that is measured
 */
public record ExperimentPlan(
        String name,
        FleetSpec fleet,
        Catalogue catalogue,
        List<LoadSpec> loads,
        List<CallerSpec> callers,
        List<FloodSpec> floods,
        List<FaultSpec> faults,
        long reportLagMillis,
        int retriesAtOnce,
        long warmUpSeconds,
        long measuredSeconds) {
    /** Copies the lists. */
    public ExperimentPlan {
        loads = List.copyOf(loads);
        callers = List.copyOf(callers);
        floods = List.copyOf(floods);
        faults = List.copyOf(faults);
    }

    /**
     * Returns the same experiment without its floods and faults, for comparison.
     *
     * @return the quiet twin
     */
    public ExperimentPlan quiet() {
        return new ExperimentPlan(
                name,
                fleet,
                catalogue,
                loads,
                callers,
                List.of(),
                List.of(),
                reportLagMillis,
                0,
                warmUpSeconds,
                measuredSeconds);
    }
}
