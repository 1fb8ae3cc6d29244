package org.apricotdeal.policy.planning;

/** Faults that tests inject to check that the randomised test detects them; never used in production. */
public enum PlannerFault {
    /** Sends orders before the plan is committed. */
    ORDER_BEFORE_COMMIT,
    /** Joins a VM to a replica without releasing it from its previous one. */
    JOIN_WITHOUT_RELEASE,
    /** Makes one VM a member of two replicas in the same plan. */
    SHARE_MEMBER,
    /** Adopts any plan that a peer sends, even an older one. */
    ADOPT_OLDER_PLAN,
    /** Treats a replica as servable although a member other than the first is lost or its report is missing or old. */
    IGNORE_LOST_MEMBER,
    /** Does not repair replicas. */
    SKIP_REPAIR,
    /** Sends orders even if the lease is not held. */
    IGNORE_LEASE,
    /** Sends orders to engines that ignore fencing numbers without waiting until earlier orders can no longer arrive. */
    SKIP_REST
}
