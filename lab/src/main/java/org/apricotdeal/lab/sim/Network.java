package org.apricotdeal.lab.sim;

import java.util.HashSet;
import java.util.Set;

/**
 * A network between named actors: messages take a random time, can be lost, repeated and reordered, and pairs of actors
 * can be cut off from each other. A paused actor receives nothing until it is resumed; what arrives meanwhile waits.
 */
public final class Network {
    private final Scheduler scheduler;
    private final long minDelayMicros;
    private final long maxDelayMicros;
    private final Set<Link> cuts = new HashSet<>();
    private final Set<String> stopped = new HashSet<>();
    private final Set<String> paused = new HashSet<>();
    private double lossShare;
    private double repeatShare;

    private record Link(String from, String to) {}

    /**
     * Creates a network without faults.
     *
     * @param scheduler virtual clock of the run
     * @param minDelayMicros shortest time that a message takes
     * @param maxDelayMicros longest time that a message takes while nothing is paused
     */
    public Network(Scheduler scheduler, long minDelayMicros, long maxDelayMicros) {
        this.scheduler = scheduler;
        this.minDelayMicros = minDelayMicros;
        this.maxDelayMicros = maxDelayMicros;
    }

    /**
     * Sets the shares of messages that are lost and repeated.
     *
     * @param loss share lost, from 0 to 1
     * @param repeat share delivered twice, from 0 to 1
     */
    public void faults(double loss, double repeat) {
        lossShare = loss;
        repeatShare = repeat;
    }

    /**
     * Cuts one direction between two actors, or joins it again.
     *
     * @param from sending actor
     * @param to receiving actor
     * @param cut true to cut, false to join
     */
    public void cut(String from, String to, boolean cut) {
        if (cut) {
            cuts.add(new Link(from, to));
        } else {
            cuts.remove(new Link(from, to));
        }
    }

    /** Joins all that was cut. */
    public void healAll() {
        cuts.clear();
    }

    /**
     * Stops an actor, or lets it be reached again: what arrives while it is stopped is lost.
     *
     * @param actor the actor
     * @param isStopped true to stop
     */
    public void stopped(String actor, boolean isStopped) {
        if (isStopped) {
            stopped.add(actor);
        } else {
            stopped.remove(actor);
        }
    }

    /**
     * Pauses an actor, or resumes it.
     *
     * @param actor the actor
     * @param isPaused true to pause
     */
    public void paused(String actor, boolean isPaused) {
        if (isPaused) {
            paused.add(actor);
        } else {
            paused.remove(actor);
        }
    }

    /**
     * Tells whether an actor is paused.
     *
     * @param actor the actor
     * @return true while it is paused
     */
    public boolean isPaused(String actor) {
        return paused.contains(actor);
    }

    /**
     * Tells whether an actor is stopped.
     *
     * @param actor the actor
     * @return true while it is stopped
     */
    public boolean isStopped(String actor) {
        return stopped.contains(actor);
    }

    /**
     * Sends a message.
     *
     * @param from sending actor
     * @param to receiving actor
     * @param delivery what the receiver does with the message
     */
    public void send(String from, String to, Runnable delivery) {
        if (cuts.contains(new Link(from, to)) || scheduler.random().nextDouble() < lossShare) {
            return;
        }
        deliverLater(from, to, delivery);
        if (scheduler.random().nextDouble() < repeatShare) {
            deliverLater(from, to, delivery);
        }
    }

    private void deliverLater(String from, String to, Runnable delivery) {
        long delayMicros = minDelayMicros + scheduler.random().nextLong(maxDelayMicros - minDelayMicros + 1);
        scheduler.afterMicros(delayMicros, () -> deliver(from, to, delivery));
    }

    private void deliver(String from, String to, Runnable delivery) {
        if (stopped.contains(to) || cuts.contains(new Link(from, to))) {
            return;
        }
        if (paused.contains(to)) {
            deliverLater(from, to, delivery);
            return;
        }
        delivery.run();
    }
}
