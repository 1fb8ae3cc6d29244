package org.apricotdeal.kernel.message;

/** Severity of a message. */
public enum Severity {
    /** A state change. */
    INFO,
    /** A problem that needs attention while operation continues. */
    WARNING,
    /** A rejection or a failure. */
    ERROR
}
