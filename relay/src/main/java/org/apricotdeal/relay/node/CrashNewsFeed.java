package org.apricotdeal.relay.node;

import java.util.List;

import org.apricotdeal.relay.poison.BlamedTraits;
import org.apricotdeal.relay.poison.CrashNews;

/** Passes on what the dispatcher knows of crashes: to heartbeats and to the log. */
final class CrashNewsFeed {
    private final BlameLog log;
    private volatile CrashNews news = CrashNews.NONE;

    CrashNewsFeed(BlameLog log) {
        this.log = log;
    }

    /** Returns the crashes and trials that this node knows of. */
    CrashNews news() {
        return news;
    }

    /** Takes what the dispatcher knows after a step. */
    void update(CrashNews latest, List<BlamedTraits> blamed) {
        news = latest;
        log.update(blamed, latest);
    }
}
