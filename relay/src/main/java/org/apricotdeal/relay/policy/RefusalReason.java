package org.apricotdeal.relay.policy;

/** Why a request is not served. */
public enum RefusalReason {
    /** No target can serve it now. */
    NO_TARGET,
    /** It could not start within its objective. */
    OVERLOAD,
    /** It has waited too long for a target. */
    WAITED_OUT,
    /** The VMs that it was sent to did not run it. */
    NOT_RUN,
    /** The attempt broke off and may not be made again. */
    BROKEN,
    /** Its time has run out. */
    TIMEOUT
}
