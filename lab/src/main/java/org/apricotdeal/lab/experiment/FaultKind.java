package org.apricotdeal.lab.experiment;

/** What a scripted fault does. */
public enum FaultKind {
    /** Replicas of a failure domain are lost and return repaired. */
    REPLICA,
    /** Replicas of a failure domain run slower. */
    STRAGGLER,
    /** All replicas, service VMs and nodes of a failure domain are lost and return. */
    FAILURE_DOMAIN,
    /** A failure domain is cut off from the others; callers reach its nodes still. */
    CUT
}
