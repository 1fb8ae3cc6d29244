package org.apricotdeal.lab.load;

/** How a request ended, as its caller sees it. */
public enum Verdict {
    /** Answered whole, and in time. */
    IN_TIME,
    /** Answered whole, but late. */
    LATE,
    /** Refused, and said not to have run. */
    NOT_RUN,
    /** Ended without a whole answer; it may have run. */
    UNKNOWN,
    /** Answered with something else than its own whole answer. */
    WRONG
}
