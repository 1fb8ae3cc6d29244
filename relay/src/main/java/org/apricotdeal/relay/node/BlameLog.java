package org.apricotdeal.relay.node;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.poison.BlamedParts;
import org.apricotdeal.relay.poison.CrashNews;

/** Logs when parts of prompts are blamed for crashes, and when they are cleared. */
final class BlameLog {
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Clock clock;
    private List<BlamedParts> logged = List.of();

    BlameLog(DecisionLog log, MetricRegistry metrics, Clock clock) {
        this.log = log;
        this.metrics = metrics;
        this.clock = clock;
    }

    /** Logs what differs from the parts that were blamed at the last call. */
    void update(List<BlamedParts> blamed, CrashNews crashNews) {
        for (BlamedParts blame : blamed) {
            if (logged.stream().noneMatch(blame::hasSameParts)) {
                metrics.counter("parts.blamed").inc();
                write("parts_blamed", blame, crashNews);
            }
        }
        for (BlamedParts blame : logged) {
            if (blamed.stream().noneMatch(blame::hasSameParts)) {
                write("parts_cleared", blame, crashNews);
            }
        }
        logged = blamed;
    }

    private void write(String event, BlamedParts blame, CrashNews crashNews) {
        log.state(event)
                .with("served", blame.served())
                .with("parts", blame.parts())
                .with("lastCrashAgeMillis", clock.monotonicMillis() - blame.lastCrashMillis())
                .with("certain", blame.certain())
                .with("crashesKnown", crashNews.crashes().size())
                .write();
    }
}
