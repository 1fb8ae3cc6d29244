package org.apricotdeal.relay.node;

import java.util.List;

import org.apricotdeal.relay.poison.BlamedTraits;
import org.apricotdeal.relay.poison.CrashNews;

/** Passes on what the dispatcher knows of crashes: to heartbeats, to the log, and of a new crash without delay. */
final class CrashNewsFeed {
    private final BlameLog log;
    private volatile CrashNews news = CrashNews.NONE;
    private volatile Runnable crashListener = () -> {};

    CrashNewsFeed(BlameLog log) {
        this.log = log;
    }

    /** Sets the listener for crashes that this node learns of. */
    void onNewCrash(Runnable listener) {
        crashListener = listener;
    }

    /** Returns the crashes and trials that this node knows of. */
    CrashNews news() {
        return news;
    }

    /** Takes what the dispatcher knows after a step. */
    void update(CrashNews latest, List<BlamedTraits> blamed) {
        boolean crashAdded = latest.crashes().size() > news.crashes().size();
        news = latest;
        log.update(blamed, latest);
        if (crashAdded) {
            crashListener.run();
        }
    }
}
