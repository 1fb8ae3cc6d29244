package org.apricotdeal.relay.poison;

import java.util.List;

/**
 * All that a node knows about crashes, as the nodes exchange it.
 *
 * @param digest equal for two nodes that know the same, apart from times
 * @param crashes the crashes
 * @param trials the trials
 */
public record CrashNews(long digest, List<CrashReport> crashes, List<TraitTrial> trials) {
    /** Nothing is known. */
    public static final CrashNews NONE = new CrashNews(0, List.of(), List.of());

    /** Copies the lists. */
    public CrashNews {
        crashes = List.copyOf(crashes);
        trials = List.copyOf(trials);
    }
}
