package org.apricotdeal.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A fake of a plain service on one VM. It records every execution; it can die before and after executing, be paused, and
 * refuse connections. A request is delivered at most once, as over TCP.
 */
public final class SimService {
    private final String name;
    private final Scheduler scheduler;
    private final Network network;
    private final Consumer<Execution> onExecution;
    private final Map<String, Integer> bookings = new HashMap<>();
    private double dieAfterShare;

    /**
     * One execution of a request.
     *
     * @param requestId the x-request-id that it carried
     * @param subject what was booked
     * @param payload the request's body
     */
    public record Execution(String requestId, String subject, String payload) {}

    /**
     * What a sender learns.
     *
     * @param kind what came of the request
     * @param body the answer, empty where there was none
     */
    public record Outcome(Kind kind, String body) {}

    /** What came of a request. */
    public enum Kind {
        /** Answered. */
        ANSWERED,
        /** The connection was refused. */
        NOT_SENT,
        /** The connection broke. */
        UNKNOWN
    }

    /**
     * Creates the service of one VM.
     *
     * @param name name of the VM as an actor of the network
     * @param scheduler virtual clock of the run
     * @param network the network
     * @param onExecution called with each execution
     */
    public SimService(String name, Scheduler scheduler, Network network, Consumer<Execution> onExecution) {
        this.name = name;
        this.scheduler = scheduler;
        this.network = network;
        this.onExecution = onExecution;
    }

    /**
     * Returns the VM's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Sets the share of executions after which the VM dies before it answers.
     *
     * @param share share from 0 to 1
     */
    public void dieAfter(double share) {
        dieAfterShare = share;
    }

    /**
     * Sends the service a request. The sender learns at most one outcome, and may learn none.
     *
     * @param from the sending actor
     * @param request the request
     * @param onOutcome takes the outcome
     */
    public void send(String from, Execution request, Consumer<Outcome> onOutcome) {
        if (network.isStopped(name) && scheduler.random().nextDouble() < 0.7) {
            network.send(name, from, () -> onOutcome.accept(new Outcome(Kind.NOT_SENT, "")));
            return;
        }
        List<Boolean> delivered = new ArrayList<>();
        network.send(from, name, () -> {
            if (delivered.isEmpty()) {
                delivered.add(true);
                scheduler.after(scheduler.random().nextLong(30), () -> execute(from, request, onOutcome));
            }
        });
    }

    private void execute(String from, Execution request, Consumer<Outcome> onOutcome) {
        if (network.isStopped(name)) {
            return;
        }
        onExecution.accept(request);
        int number = bookings.merge(request.subject(), 1, Integer::sum);
        if (scheduler.random().nextDouble() < dieAfterShare) {
            network.stopped(name, true);
            network.send(name, from, () -> onOutcome.accept(new Outcome(Kind.UNKNOWN, "")));
            return;
        }
        String body = request.subject() + "|" + request.payload() + "|" + number;
        network.send(name, from, () -> onOutcome.accept(new Outcome(Kind.ANSWERED, body)));
    }
}
