package org.apricotdeal.engine;

/** Phase of a VM's engine. */
public enum EnginePhase {
    /** Belongs to no replica; may have weights in memory. */
    IDLE,
    /** Is loading weights from the weight store. */
    LOADING,
    /** Is a member of a replica. */
    JOINED
}
