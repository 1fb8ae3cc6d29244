package org.apricotdeal.policy.planning;

/** Deliberate faults by which tests check that the randomised run catches them; none outside of tests. */
public enum PlannerFault {
    /** Sends orders before the plan is committed. */
    ORDER_BEFORE_COMMIT,
    /** Joins a VM without releasing it from its former replica. */
    JOIN_WITHOUT_RELEASE,
    /** Puts a VM into two replicas of one plan. */
    SHARE_MEMBER,
    /** Adopts any plan that a peer sends, also an older one. */
    ADOPT_OLDER_PLAN,
    /** Takes a replica for whole though one member's report is missing or old. */
    IGNORE_LOST_MEMBER,
    /** Does not repair. */
    SKIP_REPAIR,
    /** Sends orders without regard to the lease. */
    IGNORE_LEASE,
    /** Sends orders to engines that ignore fencing numbers without waiting out earlier ones. */
    SKIP_REST
}
