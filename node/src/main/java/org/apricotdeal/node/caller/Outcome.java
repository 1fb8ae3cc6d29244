package org.apricotdeal.node.caller;

/** What a caller may conclude from an answer about whether its request ran. */
public enum Outcome {
    /** The request ran and this is its answer. */
    ANSWERED("answered"),
    /** The request certainly did not run. It can be sent again. */
    NOT_RUN("not-run"),
    /** The request may have run. */
    UNKNOWN("unknown");

    /** Name of the header that carries the outcome. */
    public static final String HEADER = "apricotdeal-outcome";

    private final String externalName;

    Outcome(String word) {
        this.externalName = word;
    }

    /**
     * Returns the outcome as written in headers and bodies.
     *
     * @return the outcome's external name
     */
    public String externalName() {
        return externalName;
    }
}
