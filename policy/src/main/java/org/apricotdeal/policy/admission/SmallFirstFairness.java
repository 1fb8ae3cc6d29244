package org.apricotdeal.policy.admission;

/**
 * Callers that have used least lately go first, whatever their weight. Use decays by half in {@value #HALF_LIFE_MILLIS}
 * ms. The rank is the binary logarithm of the use plus the half-lives since the origin: use that has decayed for one
 * half-life more ranks lower by one, so ranks taken at different times compare without being brought up to date.
 */
final class SmallFirstFairness implements CallerFairness {
    private static final double HALF_LIFE_MILLIS = 30_000;

    @Override
    public void activated(CallerQueue queue) {
        // An idle caller's use has decayed by itself.
    }

    @Override
    public void charged(long nowMillis, CallerQueue queue, double cost) {
        double halfLives = nowMillis / HALF_LIFE_MILLIS;
        double use = queue.rank == CallerQueue.UNUSED_RANK ? 0 : Math.pow(2, queue.rank - halfLives);
        queue.rank = halfLives + Math.log(Math.max(1, use + cost)) / Math.log(2);
    }

    @Override
    public void served(CallerQueue queue) {
        // Ranks change by use only.
    }
}
