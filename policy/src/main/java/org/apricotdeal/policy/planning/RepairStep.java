package org.apricotdeal.policy.planning;

/** Kinds of changes to a replica. Steps that repair or form replicas are tried in the order given here, cheapest first. */
public enum RepairStep {
    /** Lost members were replaced by spares of the same fabric domain that have the weights loaded. */
    WARM_SPARE,
    /** Lost members were replaced by spares of the same fabric domain that have to load the weights. */
    COLD_SPARE,
    /** Lost members were replaced by survivors of other broken replicas of the same fabric domain. */
    MERGE,
    /** The replica is new. */
    FORM,
    /** Lost members were replaced by VMs of other fabric domains, or the replica is new and spans fabric domains. */
    SPAN,
    /** A straggler was replaced and became a spare. */
    DEMOTE_STRAGGLER,
    /** A replica that spanned several fabric domains was moved into one. */
    REGROUP,
    /** The replica was surplus, or its survivors became members of other replicas. */
    DROP
}
