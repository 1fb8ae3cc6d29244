package org.apricotdeal.relay.policy;

/** What keeps a target from receiving a request now, the gravest reason first. */
enum TargetBar {
    /** Its failure domain is being evacuated by the operator. */
    EVACUATED,
    /** It is excluded because it has failed or made no progress, or its only probe is still running. */
    SUSPECTED,
    /** Its VM has asked for a pause. */
    PAUSED,
    /** Its VM is cold, and this node's share of the requests that it tolerates is used up for now. */
    COLD,
    /** This node has no free slot at it. */
    FULL,
    /** The request does not fit into its memory beside those that it holds. */
    MEMORY,
    /** Nothing; it may receive a request. */
    NONE
}
