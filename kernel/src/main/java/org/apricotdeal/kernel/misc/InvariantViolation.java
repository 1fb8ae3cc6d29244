package org.apricotdeal.kernel.misc;

/** Thrown when an invariant of the program does not hold. */
public final class InvariantViolation extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    private final String invariant;

    /**
     * Creates an exception for one violation.
     *
     * @param invariant the invariant's name
     * @param detail description of the state that violates the invariant
     */
    public InvariantViolation(String invariant, String detail) {
        super(invariant + ": " + detail);
        this.invariant = invariant;
    }

    /**
     * Returns the invariant's name.
     *
     * @return the name as listed in docs/PROOFS.md
     */
    public String invariant() {
        return invariant;
    }
}
