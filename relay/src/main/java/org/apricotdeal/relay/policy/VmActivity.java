package org.apricotdeal.relay.policy;

/** Activity of a VM of an upstream with replicas. */
public enum VmActivity {
    /** Member of an open replica. */
    SERVING,
    /** Member of a replica that is not open yet. */
    FORMING,
    /** Not in a replica; has the weights of a model. */
    SPARE,
    /** Not in a replica; is loading weights. */
    LOADING,
    /** Must not join another replica until its former head has certainly stopped. */
    RESTING,
    /** Not in a replica; has no weights. */
    BLANK,
    /** Member of a replica that is being dissolved. */
    PARTING,
    /** Leaving or unresponsive. */
    AWAY
}
