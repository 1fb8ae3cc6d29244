package org.apricotdeal.relay.node;

import java.util.List;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.poison.HeldTraits;

/**
 * Passes on what the dispatcher knows of crashes: to heartbeats, to the log, the metrics and the status, and of a new crash
 * without delay. The dispatch duty updates it; any thread may read it.
 */
final class CrashNewsFeed {
    /** Interval at which the blame is read again if the news is unchanged; as often as time alone changes it. */
    private static final long BLAME_PERIOD_MILLIS = 250;

    private final BlameLog log;
    private final Clock clock;
    private volatile CrashNews news = CrashNews.NONE;
    private volatile List<HeldTraits> blamed = List.of();
    private volatile Runnable crashListener = () -> {};
    private long blameReadMillis;

    CrashNewsFeed(DecisionLog log, MetricRegistry metrics, Clock clock) {
        this.log = new BlameLog(log, metrics, clock);
        this.clock = clock;
        metrics.register("traits.held", (Gauge<Integer>) () -> blamed.size());
        metrics.register("traits.tried", (Gauge<Integer>) () -> news.trials().size());
    }

    /** Sets the listener for crashes that this node learns of. */
    void onNewCrash(Runnable listener) {
        crashListener = listener;
    }

    /** Returns the crashes and trials that this node knows of. */
    CrashNews news() {
        return news;
    }

    /** Returns the traits that were blamed at the last update. */
    List<HeldTraits> blamed() {
        return blamed;
    }

    /** Takes what the dispatcher knows after a step. */
    void update(CrashNews latest, Supplier<List<HeldTraits>> latestBlamed) {
        boolean crashAdded = latest.crashes().size() > news.crashes().size();
        boolean changed = latest.digest() != news.digest();
        news = latest;
        long nowMillis = clock.monotonicMillis();
        if (changed || nowMillis - blameReadMillis >= BLAME_PERIOD_MILLIS) {
            blameReadMillis = nowMillis;
            blamed = latestBlamed.get();
            log.update(blamed.stream().map(HeldTraits::blame).toList(), latest);
        }
        if (crashAdded) {
            crashListener.run();
        }
    }
}
