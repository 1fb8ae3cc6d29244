package org.apricotdeal.lab.soak;

import java.util.EnumSet;
import java.util.Set;

import org.apricotdeal.policy.membership.MembershipFault;
import org.apricotdeal.policy.planning.PlannerFault;

/**
 * Deliberate faults of the code under test, to check that the checks catch them.
 *
 * @param planner faults of planning
 * @param membership faults of membership
 */
public record PlanningMutations(Set<PlannerFault> planner, Set<MembershipFault> membership) {
    /** No fault. */
    public static final PlanningMutations NONE = new PlanningMutations(Set.of(), Set.of());

    /**
     * Creates one fault of planning.
     *
     * @param fault the fault
     * @return only this fault
     */
    public static PlanningMutations of(PlannerFault fault) {
        return new PlanningMutations(EnumSet.of(fault), Set.of());
    }

    /**
     * Creates one fault of membership.
     *
     * @param fault the fault
     * @return only this fault
     */
    public static PlanningMutations of(MembershipFault fault) {
        return new PlanningMutations(Set.of(), EnumSet.of(fault));
    }
}
