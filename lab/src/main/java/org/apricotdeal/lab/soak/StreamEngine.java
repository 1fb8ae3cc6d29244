package org.apricotdeal.lab.soak;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.stream.StreamEvent;

/**
 * A fake of the first member of one replica. Each attempt has its own connection, which can go silent for good while new
 * ones work. Every token's text names its request, its offset and the token before it, so that a mixture of two attempts
 * shows; attempts differ from each other in their tokens, as sampled ones do.
 */
final class StreamEngine {
    private final String name;
    private final Scheduler scheduler;
    private final Network network;
    private final Set<String> silentConnections = new HashSet<>();
    private final Set<String> cancelled = new HashSet<>();
    private final Set<String> open = new HashSet<>();
    private boolean whole = true;

    StreamEngine(String name, Scheduler scheduler, Network network) {
        this.name = name;
        this.scheduler = scheduler;
        this.network = network;
    }

    String name() {
        return name;
    }

    boolean isWhole() {
        return whole;
    }

    /** Loses a member, which ends every stream, or becomes whole again. */
    void whole(boolean isWhole) {
        whole = isWhole;
        if (!isWhole) {
            open.clear();
        }
    }

    /** Makes all connections of now go silent for good. */
    void silenceConnections() {
        silentConnections.addAll(open);
    }

    /** One attempt's connection and what it generates. */
    record Attempt(StreamSession session, int number, int tokens) {
        String connection() {
            return session.name() + "/" + number;
        }
    }

    void open(Attempt attempt, List<String> generated) {
        network.send(attempt.session().name(), name, () -> {
            if (!whole) {
                reply(attempt, new StreamEvent.Failed(attempt.number(), new StreamFailure.NotStarted("503")));
                return;
            }
            open.add(attempt.connection());
            String last = generated.isEmpty() ? "" : generated.getLast();
            generate(attempt, generated.size(), last);
        });
    }

    void cancel(Attempt attempt) {
        network.send(attempt.session().name(), name, () -> cancelled.add(attempt.connection()));
    }

    void probe(StreamSession session, int attempt) {
        network.send(
                session.name(),
                name,
                () -> network.send(name, session.name(), () -> session.tell(new StreamEvent.Probed(attempt, whole))));
    }

    private void generate(Attempt attempt, int offset, String previous) {
        long delayMillis = 5 + scheduler.random().nextLong(30);
        scheduler.after(delayMillis, () -> {
            if (network.isStopped(name) || cancelled.contains(attempt.connection())) {
                return;
            }
            if (network.isPaused(name)) {
                generate(attempt, offset, previous);
                return;
            }
            if (!open.contains(attempt.connection())) {
                reply(attempt, new StreamEvent.Failed(attempt.number(), new StreamFailure.Broken("member lost")));
                return;
            }
            if (offset >= attempt.tokens()) {
                reply(attempt, new StreamEvent.Finished(attempt.number(), "stop", offset));
                return;
            }
            String text = tokenText(attempt.session().name(), offset, previous) + "~" + attempt.number();
            reply(attempt, new StreamEvent.Token(attempt.number(), offset, text));
            generate(attempt, offset + 1, text);
        });
    }

    /** Returns the beginning of the text that a token has after another one. */
    static String tokenText(String request, int offset, String previous) {
        return request + "#" + offset + "#" + Integer.toHexString(previous.hashCode());
    }

    private void reply(Attempt attempt, StreamEvent event) {
        if (!silentConnections.contains(attempt.connection())) {
            network.send(name, attempt.session().name(), () -> attempt.session().tell(event));
        }
    }
}
