package org.apricotdeal.policy.admission;

/**
 * Serves the callers with the least recent use first, whatever their weight. Use decays exponentially with a half-life of
 * {@value #HALF_LIFE_MILLIS} ms. The rank is the binary logarithm of the use plus the current time in half-lives. Decay
 * over one half-life lowers the logarithm by exactly one, so ranks computed at different times can be compared directly.
 */
final class SmallFirstFairness implements CallerFairness {
    private static final double HALF_LIFE_MILLIS = 30_000;

    @Override
    public void activated(CallerQueue queue) {
        // The rank needs no update: the use of an idle caller decays implicitly.
    }

    @Override
    public void charged(long nowMillis, CallerQueue queue, double cost) {
        double halfLives = nowMillis / HALF_LIFE_MILLIS;
        double use = queue.rank == CallerQueue.INITIAL_RANK ? 0 : Math.pow(2, queue.rank - halfLives);
        queue.rank = halfLives + Math.log(Math.max(1, use + cost)) / Math.log(2);
    }

    @Override
    public void served(CallerQueue queue) {
        // Only charges change a rank.
    }
}
