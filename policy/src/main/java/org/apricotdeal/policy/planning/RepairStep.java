package org.apricotdeal.policy.planning;

/** How a replica came by its members; repairs are tried in this order, cheapest first. */
public enum RepairStep {
    /** Lost members were replaced by spares of the same fabric domain that hold the weights. */
    WARM_SPARE,
    /** Lost members were replaced by spares of the same fabric domain that must load the weights. */
    COLD_SPARE,
    /** Lost members were replaced by survivors of other broken replicas of the same fabric domain. */
    MERGE,
    /** The replica is new. */
    FORM,
    /** Lost members were replaced by VMs of other fabric domains, or the replica is new and spans fabric domains. */
    SPAN,
    /** A straggler was replaced and became a spare. */
    DEMOTE_STRAGGLER,
    /** A replica that spanned fabric domains moved into one. */
    REGROUP,
    /** The replica is no longer wanted, or its survivors serve in others. */
    DROP
}
