package org.apricotdeal.relay.policy;

/** What a VM of an upstream with replicas does. */
public enum VmActivity {
    /** Member of a replica that is open. */
    SERVING,
    /** Member of a replica that is not open yet. */
    FORMING,
    /** In no replica, holds a model's weights. */
    SPARE,
    /** In no replica, loads weights. */
    LOADING,
    /** Must not join another replica before its former head has certainly stopped. */
    RESTING,
    /** In no replica, without weights. */
    BLANK,
    /** Member of a replica that is being dissolved. */
    PARTING,
    /** Leaves, or does not answer. */
    AWAY
}
