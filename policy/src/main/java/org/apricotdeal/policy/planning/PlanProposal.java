package org.apricotdeal.policy.planning;

import java.util.List;

/**
 * A plan that is not committed yet, with the steps that lead to it.
 *
 * @param plan the plan, with its version and writer still those of the plan before
 * @param steps the steps, in order
 */
public record PlanProposal(Plan plan, List<PlanStep> steps) {
    /** Copies the list. */
    public PlanProposal {
        steps = List.copyOf(steps);
    }
}
