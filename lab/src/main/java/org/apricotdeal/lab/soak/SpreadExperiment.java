package org.apricotdeal.lab.soak;

import java.io.PrintStream;
import java.util.Locale;

import org.HdrHistogram.Histogram;
import org.apricotdeal.policy.spread.SpreadFault;
import org.apricotdeal.policy.spread.SpreadSettings;

/**
 * Measures on virtual time how long an accepted catalogue change takes until it is in force on every node, and what the
 * nodes spend on it: calls to the platform, and bytes on the network. Entries count with the length of their text; headers
 * of messages and replies with fixed sizes; heartbeats only with the version and digest in them.
 */
public final class SpreadExperiment {
    private static final int[][] NODES_AND_DOMAINS = {{4, 1}, {4, 3}, {30, 3}, {330, 11}};
    private static final int ENTRIES = 1_000;
    private static final long WARM_UP_MILLIS = 60_000;
    private static final long CHANGE_PERIOD_MILLIS = 28_800;
    private static final int CHANGES = 20;
    private static final long LONGEST_MILLIS = 600_000;

    private SpreadExperiment() {}

    /**
     * Prints one line for each size, with and without lost messages.
     *
     * @param arguments none
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] arguments) {
        printAll(System.out);
    }

    private static void printAll(PrintStream out) {
        out.println(
                "one change every " + CHANGE_PERIOD_MILLIS + " ms, " + ENTRIES + " entries, " + CHANGES + " changes");
        out.println(
                "nodes domains loss | ms until in force everywhere: median, longest | platform calls/s: all, per node"
                        + " | bytes/s per node: mean, highest");
        for (int[] size : NODES_AND_DOMAINS) {
            for (double loss : new double[] {0, 0.05}) {
                out.println(measure(size[0], size[1], loss));
            }
        }
    }

    private static String measure(int nodes, int domains, double loss) {
        SpreadWorld world = new SpreadWorld(1, nodes, domains, SpreadSettings.DEFAULT, SpreadFault.NONE);
        world.change("operator-0", ENTRIES);
        world.nodes().forEach(SpreadNode::boot);
        world.scheduler().runUntil(WARM_UP_MILLIS);
        world.network().faults(loss, 0);
        long callsBefore = world.store().calls();
        long[] bytesBefore = new long[nodes];
        int index = 0;
        for (SpreadNode node : world.nodes()) {
            bytesBefore[index++] = node.trafficBytes();
        }
        Histogram millis = new Histogram(LONGEST_MILLIS, 3);
        long newest = world.newestAccepted();
        for (int change = 0; change < CHANGES; change++) {
            world.change("operator-0", ENTRIES);
            long untilMillis = world.scheduler().monotonicMillis() + CHANGE_PERIOD_MILLIS;
            newest = spread(world, newest, untilMillis, millis);
            world.scheduler().runUntil(untilMillis);
        }
        double seconds = CHANGES * CHANGE_PERIOD_MILLIS / 1e3;
        double calls = (world.store().calls() - callsBefore) / seconds;
        double highest = 0;
        double sum = 0;
        index = 0;
        for (SpreadNode node : world.nodes()) {
            double bytes = (node.trafficBytes() - bytesBefore[index++]) / seconds;
            highest = Math.max(highest, bytes);
            sum += bytes;
        }
        return String.format(
                Locale.ROOT,
                "%5d %7d %4.2f | %6d %6d (%d changes) | %7.2f %7.4f | %8.0f %8.0f",
                nodes,
                domains,
                loss,
                millis.getValueAtPercentile(50),
                millis.getMaxValue(),
                millis.getTotalCount(),
                calls,
                calls / nodes,
                sum / nodes,
                highest);
    }

    /** Runs until the next accepted version is in force everywhere, and records how long that took. */
    private static long spread(SpreadWorld world, long before, long untilMillis, Histogram millis) {
        while (world.scheduler().monotonicMillis() < untilMillis) {
            world.scheduler().runUntil(world.scheduler().monotonicMillis() + 1);
            long newest = world.newestAccepted();
            if (newest > before && isInForceEverywhere(world, newest)) {
                long acceptedAtMillis = world.acceptedAtMillis().get(newest);
                millis.recordValue(world.scheduler().monotonicMillis() - acceptedAtMillis);
                return newest;
            }
        }
        return world.newestAccepted();
    }

    private static boolean isInForceEverywhere(SpreadWorld world, long version) {
        for (SpreadNode node : world.nodes()) {
            if (node.version() < version) {
                return false;
            }
        }
        return true;
    }
}
