package org.apricotdeal.kernel.misc;

import java.util.function.Supplier;

/** Checks invariants at run time. A violation throws, which fails the duty that caused it, so it never goes unnoticed. */
public final class Invariants {
    private Invariants() {}

    /**
     * Checks an invariant, both in tests and in production.
     *
     * @param holds whether the invariant holds
     * @param name the invariant's name as listed in docs/PROOFS.md
     * @param detail supplies a description of the state; called only if the invariant does not hold
     * @throws InvariantViolation if the invariant does not hold
     */
    public static void check(boolean holds, String name, Supplier<String> detail) {
        if (!holds) {
            throw new InvariantViolation(name, detail.get());
        }
    }
}
