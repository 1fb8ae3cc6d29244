package org.apricotdeal.lab.soak;

import java.util.List;

import org.apricotdeal.kernel.misc.InvariantViolation;

/** Reports the seed of a randomised run in which a check failed, with its trace and the command that repeats it. */
public final class RunFailure extends IllegalStateException {
    private static final long serialVersionUID = 1L;

    private final String invariant;

    /**
     * Creates the report.
     *
     * @param seed seed of the run
     * @param violation the check that failed
     * @param trace what happened before
     * @param command command that repeats the run
     */
    public RunFailure(long seed, InvariantViolation violation, List<String> trace, String command) {
        super(
                "seed " + seed + ": " + violation.getMessage() + "\n" + String.join("\n", trace) + "\nrepeat with: "
                        + command,
                violation);
        this.invariant = violation.invariant();
    }

    /**
     * Returns the name of the check that failed.
     *
     * @return the invariant's name
     */
    public String invariant() {
        return invariant;
    }
}
