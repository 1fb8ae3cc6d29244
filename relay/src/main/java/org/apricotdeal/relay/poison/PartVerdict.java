package org.apricotdeal.relay.poison;

/** Whether a request may be sent to VMs that serve a given model release. */
public sealed interface PartVerdict {
    /** The request has no blamed part. */
    record Free() implements PartVerdict {}

    /** The request may be sent as the trial of its blamed parts. */
    record OnTrial() implements PartVerdict {}

    /**
     * The request must not be sent.
     *
     * @param untilMillis monotonic time before which this does not change
     * @param certain true if VMs that serve the same have crashed, and no other part explains it equally well
     */
    record Held(long untilMillis, boolean certain) implements PartVerdict {}
}
