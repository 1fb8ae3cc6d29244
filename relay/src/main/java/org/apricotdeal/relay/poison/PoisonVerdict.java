package org.apricotdeal.relay.poison;

/** Whether a request may be sent to VMs that serve a given model release. */
public sealed interface PoisonVerdict {
    /** The request has no blamed trait. */
    record Free() implements PoisonVerdict {}

    /** The request may be sent as the trial of its blamed traits. */
    record OnTrial() implements PoisonVerdict {}

    /**
     * A copy of the request was lost with its VM, and what becomes of the copy that is sent again is not known yet.
     *
     * @param untilMillis monotonic time until which this node leaves it to the others to find out
     * @param turnMillis time for which this node lets others go first that are in the same position
     */
    record Unproven(long untilMillis, long turnMillis) implements PoisonVerdict {}

    /**
     * The request must not be sent.
     *
     * @param untilMillis monotonic time before which this does not change
     * @param certain true if VMs that serve the same have crashed, and no other trait explains it equally well
     */
    record Held(long untilMillis, boolean certain) implements PoisonVerdict {}
}
