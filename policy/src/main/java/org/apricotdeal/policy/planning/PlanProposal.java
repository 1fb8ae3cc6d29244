package org.apricotdeal.policy.planning;

import java.util.List;

/**
 * A plan that is not committed yet, with the steps that change the previous plan into it.
 *
 * @param plan the proposed plan, still with the version and writer of the previous plan
 * @param steps the steps in the order in which they apply
 */
public record PlanProposal(Plan plan, List<PlanStep> steps) {
    /** Copies the list. */
    public PlanProposal {
        steps = List.copyOf(steps);
    }
}
