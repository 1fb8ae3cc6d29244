package org.apricotdeal.relay.policy;

/**
 * Adapts the part of scarce slots that this node uses to the load that targets report when they begin its answers.
 *
 * <p>Load pattern: the nodes' parts of the load differ by several times and change within seconds, so fixed parts leave slots
 * free at targets whose home nodes have few callers, while callers of other nodes are refused. A node increases its part a
 * little with each answer of a target that had a slot for it, and decreases it more with each answer of a target at which
 * requests had to wait. Nodes that need slots thus share those that others leave, and about one in ten requests waits.
 */
final class ShareScale {
    private static final double MIN = 0.25;
    private static final double MAX = 4;
    private static final double INCREASE = 1.01;
    private static final double DECREASE = 0.9;

    private double value = 1;

    /** Returns the factor of this node's part of scarce slots. */
    double value() {
        return value;
    }

    /**
     * Records the load of a target that has begun an answer of this node.
     *
     * @param requests running and waiting requests at the target
     * @param slots slots of the target
     */
    void record(int requests, int slots) {
        value = Math.clamp(value * (requests > slots ? DECREASE : INCREASE), MIN, MAX);
    }
}
