package org.apricotdeal.relay.node;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.poison.BlamedTraits;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.RefusalReason;

/** Logs when requests or parts of prompts are blamed for crashes, and when they are cleared. */
final class BlameLog {
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Clock clock;
    private List<BlamedTraits> logged = List.of();

    BlameLog(DecisionLog log, MetricRegistry metrics, Clock clock) {
        this.log = log;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Logs what differs from the traits that were blamed at the last call. */
    void update(List<BlamedTraits> blamed, CrashNews crashNews) {
        for (BlamedTraits blame : blamed) {
            if (logged.stream().noneMatch(blame::hasSameTraits)) {
                metrics.counter("traits.blamed").inc();
                write("traits_blamed", blame, crashNews);
            }
        }
        for (BlamedTraits blame : logged) {
            if (blamed.stream().noneMatch(blame::hasSameTraits)) {
                write("traits_cleared", blame, crashNews);
            }
        }
        logged = blamed;
    }

    /** Returns the digest of a request that is held back, for the line on its end; a hyphen for other requests. */
    static String digest(Arrival arrival, RefusalReason reason) {
        return arrival.digest()
                .filter(digest -> reason == RefusalReason.SUSPECT_REQUEST)
                .map(RequestDigest::toString)
                .orElse("-");
    }

    private void write(String event, BlamedTraits blame, CrashNews crashNews) {
        log.state(event)
                .with("served", blame.served())
                .with("traits", blame.traits())
                .with("lastCrashAgeMillis", clock.monotonicMillis() - blame.lastCrashMillis())
                .with("certain", blame.certain())
                .with("crashesKnown", crashNews.crashes().size())
                .write();
    }
}
