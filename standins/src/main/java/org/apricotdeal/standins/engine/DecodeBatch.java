package org.apricotdeal.standins.engine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.apricotdeal.standins.server.StandinThreads;
import org.apricotdeal.standins.server.UpstreamFaults;

/**
 * An engine's continuous batch. In each step every running stream whose prompt is computed gets one token; then streams
 * that wait take the places that are free, the most urgent first, and an urgent one takes the place of the least urgent that
 * runs, which goes on later. Steps follow one another at the time between tokens while there is any stream.
 */
final class DecodeBatch {
    private static final long WAITING_SIGN_MILLIS = 1_000;

    private final EngineSettings settings;
    private final UpstreamFaults faults;
    private final PrefixCache cache;
    private final StandinThreads threads;
    private final PriorityQueue<DecodeStream> waiting = new PriorityQueue<>(DecodeStream.BY_URGENCY);
    private final List<DecodeStream> running = new ArrayList<>();
    private boolean isStepping;
    private boolean isClosed;
    private long nextStepNanos;
    private long nextWaitingSignNanos = System.nanoTime();

    DecodeBatch(EngineSettings settings, UpstreamFaults faults, PrefixCache cache, StandinThreads threads) {
        this.settings = settings;
        this.faults = faults;
        this.cache = cache;
        this.threads = threads;
    }

    /** Tells whether one more stream can run or wait. */
    synchronized boolean hasRoom() {
        return running.size() < settings.maxRunning() || waiting.size() < settings.maxWaiting();
    }

    synchronized void add(DecodeStream stream) {
        waiting.add(stream);
        long nowNanos = System.nanoTime();
        admit(nowNanos);
        if (!isStepping) {
            isStepping = true;
            nextStepNanos = nowNanos;
            scheduleStep(nowNanos);
        }
    }

    /** Cancels a stream; false where there is none of that name. */
    boolean cancel(String requestId) {
        return cutOff(stream -> stream.requestId().equals(requestId)) > 0;
    }

    synchronized boolean contains(String requestId) {
        Predicate<DecodeStream> hasName = stream -> stream.requestId().equals(requestId);
        return running.stream().anyMatch(hasName) || waiting.stream().anyMatch(hasName);
    }

    /** Cuts off all streams. */
    void cutOffAll() {
        cutOff(stream -> true);
    }

    synchronized void close() {
        isClosed = true;
        running.clear();
        waiting.clear();
    }

    synchronized int running() {
        return running.size();
    }

    synchronized int waiting() {
        return waiting.size();
    }

    private synchronized int cutOff(Predicate<DecodeStream> which) {
        List<DecodeStream> found = new ArrayList<>();
        running.stream().filter(which).forEach(found::add);
        waiting.stream().filter(which).forEach(found::add);
        running.removeAll(found);
        waiting.removeAll(found);
        found.forEach(stream -> stream.writer().cutOff());
        return found.size();
    }

    private void scheduleStep(long nowNanos) {
        threads.afterMicros(TimeUnit.NANOSECONDS.toMicros(nextStepNanos - nowNanos), this::step);
    }

    private synchronized void step() {
        if (isClosed || (running.isEmpty() && waiting.isEmpty())) {
            isStepping = false;
            return;
        }
        long nowNanos = System.nanoTime();
        long pausedMillis = faults.pausedMillis();
        if (pausedMillis > 0) {
            nextStepNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pausedMillis);
            scheduleStep(nowNanos);
            return;
        }
        sendTokens(nowNanos);
        admit(nowNanos);
        signWaiting(nowNanos);
        nextStepNanos = Math.max(nextStepNanos + scaledNanos(settings.tokenMillis()), nowNanos);
        scheduleStep(nowNanos);
    }

    private void sendTokens(long nowNanos) {
        int breakAfterTokens = faults.breakAfterTokens();
        for (DecodeStream stream : running) {
            if (!stream.isReady(nowNanos)) {
                continue;
            }
            muteWhereSilent(stream);
            if (stream.isFinished()) {
                stream.sendNothing();
                continue;
            }
            stream.sendToken();
            if (!stream.isFinished() && breakAfterTokens > 0 && stream.sentTokens() >= breakAfterTokens) {
                stream.writer().cutOff();
            }
        }
        running.removeIf(stream -> !stream.writer().isOpen());
    }

    private void admit(long nowNanos) {
        while (!waiting.isEmpty()) {
            if (running.size() >= settings.maxRunning() && !preemptFor(waiting.peek())) {
                return;
            }
            DecodeStream next = waiting.poll();
            double uncachedShare = cache.compute(next.prompt());
            next.readyAt(nowNanos + (long) (scaledNanos(settings.firstTokenMillis()) * uncachedShare));
            running.add(next);
        }
    }

    private boolean preemptFor(DecodeStream urgent) {
        DecodeStream leastUrgent = Collections.max(running, DecodeStream.BY_URGENCY);
        if (leastUrgent.priority() <= urgent.priority()) {
            return false;
        }
        running.remove(leastUrgent);
        waiting.add(leastUrgent);
        return true;
    }

    private void signWaiting(long nowNanos) {
        if (nowNanos - nextWaitingSignNanos < 0) {
            return;
        }
        nextWaitingSignNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(WAITING_SIGN_MILLIS);
        for (DecodeStream stream : waiting) {
            muteWhereSilent(stream);
            stream.sendWaiting();
        }
        waiting.removeIf(stream -> !stream.writer().isOpen());
    }

    private void muteWhereSilent(DecodeStream stream) {
        if (faults.isSilent(stream.writer().exchange())) {
            stream.writer().mute();
        }
    }

    private long scaledNanos(long millis) {
        return (long) (TimeUnit.MILLISECONDS.toNanos(millis) * faults.slowFactor());
    }
}
