package org.apricotdeal.lab.soak;

/** A run that is a function of its seed and throws where a check fails. */
@FunctionalInterface
public interface RandomisedRun {
    /**
     * Runs.
     *
     * @param seed seed of all randomness
     * @return what was done, as one line for people
     * @throws RunFailure where a check failed
     */
    String run(long seed);
}
