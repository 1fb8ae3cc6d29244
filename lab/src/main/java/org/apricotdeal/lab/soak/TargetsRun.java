package org.apricotdeal.lab.soak;

import org.apricotdeal.kernel.misc.InvariantViolation;

/**
 * A randomised run of what nodes in relay mode send where: failure domains are evacuated, taken back and given again, VMs
 * return cold or become cold while they serve, and a flood of requests at nodes that restart, freeze, are cut off, hear
 * nothing of the store and disagree about the fleet. Nothing is sent to an evacuated domain later than the bound after
 * the word by a node in touch, and a cold VM gets no more requests in any second than its bound, from all nodes that
 * know that it is cold.
 */
public final class TargetsRun implements RandomisedRun {
    private static final String COMMAND = "./apricotdeal lab soak targets --seeds ";
    private static final long FAULTS_MILLIS = 40_000;
    private static final int TRACE_LINES = 250;

    private final TargetsFault fault;

    /** Creates a run without deliberate faults. */
    public TargetsRun() {
        this(TargetsFault.NONE);
    }

    /**
     * Creates a run with a deliberate fault, to test its checks.
     *
     * @param fault the fault
     */
    public TargetsRun(TargetsFault fault) {
        this.fault = fault;
    }

    @Override
    public String run(long seed) {
        TargetsWorld world = new TargetsWorld(seed, fault);
        try {
            return run(world);
        } catch (InvariantViolation violation) {
            throw new RunFailure(seed, violation, world.trace().about(subject(violation), TRACE_LINES), COMMAND + seed);
        }
    }

    private static String subject(InvariantViolation violation) {
        return violation.getMessage().replaceFirst("^.*?\\b([nv]\\d\\d)\\b.*$", "$1");
    }

    private static String run(TargetsWorld world) {
        TargetsFaultSource faults = new TargetsFaultSource(world);
        faults.start();
        world.scheduler().runUntil(FAULTS_MILLIS);
        faults.heal();
        long nowMillis = FAULTS_MILLIS + TargetsChecks.EVACUATION_MILLIS;
        world.scheduler().runUntil(nowMillis);
        world.checks().checkWordsInForce();
        for (int i = 0; i < world.domains().size(); i++) {
            world.store().write(world.domains().get(i), i == 0, nowMillis);
        }
        nowMillis += TargetsChecks.EVACUATION_MILLIS;
        world.scheduler().runUntil(nowMillis);
        world.checks().checkWordsInForce();
        world.store().write(world.domains().getFirst(), false, nowMillis);
        nowMillis += TargetsChecks.EVACUATION_MILLIS;
        world.scheduler().runUntil(nowMillis);
        world.checks().checkWordsInForce();
        world.checks().checkServedSince(nowMillis - TargetsChecks.EVACUATION_MILLIS / 2);
        return world.scheduler().executed() + " steps, " + world.checks();
    }
}
