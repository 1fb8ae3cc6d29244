package org.apricotdeal.lab.soak;

/** Deliberate faults of nodes in relay mode, to check that the checks of {@link TargetsRun} catch them. */
public enum TargetsFault {
    /** No fault. */
    NONE,
    /** A node obeys the word that arrives last instead of the one of the later revision. */
    LAST_WORD_WINS,
    /** A node orders what the store says by the number of the revision alone, whatever the incarnation of the store. */
    ORDER_BY_NUMBER_ALONE,
    /** Heartbeats do not carry the operator's words. */
    PEERS_TELL_NOTHING,
    /** The dispatcher does not hear of evacuations, and attempts do not ask again before they begin. */
    EVACUATIONS_NOT_OBEYED,
    /** The dispatcher does not hear of cold VMs. */
    COLD_VMS_NOT_LIMITED,
    /** A set of home nodes uses the whole bound of a cold VM, so that two sets exceed it. */
    WHOLE_BOUND_FOR_EACH_SET,
    /** A node that has restarted does not wait until its earlier requests count no longer. */
    NO_WAIT_AFTER_RESTART
}
