package org.apricotdeal.kernel.duty;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.TimeoutBlockingWaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;

/**
 * An event loop: one thread that owns one piece of state and receives events through a bounded ring buffer.
 * {@link #offer} never blocks: it rejects an event if the ring is full and leaves the reaction to the producer.
 *
 * @param <E> type of the events
 */
public final class Duty<E> implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final String name;
    private final Disruptor<Slot<E>> disruptor;
    private final Loop<E> loop;

    /** A slot of the ring buffer. */
    private static final class Slot<E> {
        private E event;
    }

    /**
     * Creates and starts the duty.
     *
     * @param name name of the duty and its thread
     * @param ringSlots capacity of the ring in events, a power of two
     * @param tickMillis interval in milliseconds between two calls of {@code tick} while no event arrives
     * @param handler processes one event; runs on the duty's thread
     * @param tick does periodic work; runs on the duty's thread
     */
    public Duty(String name, int ringSlots, long tickMillis, Consumer<E> handler, Runnable tick) {
        this.name = name;
        this.disruptor = new Disruptor<>(
                Slot::new,
                ringSlots,
                task -> Thread.ofPlatform().name(name).daemon(true).unstarted(task),
                ProducerType.MULTI,
                new TimeoutBlockingWaitStrategy(tickMillis, TimeUnit.MILLISECONDS));
        disruptor.setDefaultExceptionHandler(new LoggingHandler<>(name));
        this.loop = new Loop<>(tickMillis, handler, tick);
        disruptor.handleEventsWith(loop);
        disruptor.start();
    }

    /**
     * Offers an event to the duty without blocking.
     *
     * @param event the event
     * @return false if the ring is full and the event was rejected
     */
    public boolean offer(E event) {
        return disruptor.getRingBuffer().tryPublishEvent((slot, sequence) -> slot.event = event);
    }

    /**
     * Adds an event, blocking while the ring is full. For producers that may be slowed down but must not lose an event;
     * must not be called from the duty's own thread.
     *
     * @param event the event
     */
    public void put(E event) {
        disruptor.getRingBuffer().publishEvent((slot, sequence) -> slot.event = event);
    }

    /**
     * Returns the number of events in the ring.
     *
     * @return number of occupied slots
     */
    public long depth() {
        return disruptor.getRingBuffer().getBufferSize()
                - disruptor.getRingBuffer().remainingCapacity();
    }

    /**
     * Returns the duty's name.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /** Stops the duty after the events that it has accepted are processed, or after a time limit. */
    @Override
    public void close() {
        awaitStart();
        try {
            disruptor.shutdown(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            LOGGER.atWarning().log(
                    "duty %s did not process its remaining events within %d ms; stopping it",
                    name, STOP_TIMEOUT_MILLIS);
            disruptor.halt();
        }
    }

    /** Waits until the thread runs; a disruptor that is shut down before that drops what was published. */
    private void awaitStart() {
        try {
            if (!loop.started.await(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                LOGGER.atWarning().log("duty %s has not started within %d ms", name, STOP_TIMEOUT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Calls the handler and the tick on the duty's thread. */
    private static final class Loop<E> implements EventHandler<Slot<E>> {
        private final long tickMillis;
        private final Consumer<E> handler;
        private final Runnable tick;
        private final CountDownLatch started = new CountDownLatch(1);
        private long lastTickNanos = System.nanoTime();

        Loop(long tickMillis, Consumer<E> handler, Runnable tick) {
            this.tickMillis = tickMillis;
            this.handler = handler;
            this.tick = tick;
        }

        @Override
        public void onStart() {
            started.countDown();
        }

        @Override
        public void onEvent(Slot<E> slot, long sequence, boolean endOfBatch) {
            E event = slot.event;
            slot.event = null;
            handler.accept(event);
            if (System.nanoTime() - lastTickNanos >= TimeUnit.MILLISECONDS.toNanos(tickMillis)) {
                runTick();
            }
        }

        @Override
        public void onTimeout(long sequence) {
            runTick();
        }

        private void runTick() {
            lastTickNanos = System.nanoTime();
            tick.run();
        }
    }

    /** Logs an exception of the handler and keeps the duty running. */
    private static final class LoggingHandler<E> implements ExceptionHandler<Slot<E>> {
        private final String name;

        LoggingHandler(String name) {
            this.name = name;
        }

        @Override
        public void handleEventException(Throwable failure, long sequence, Slot<E> slot) {
            LOGGER.atSevere().withCause(failure).log("duty %s failed", name);
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            LOGGER.atSevere().withCause(failure).log("duty %s failed to start", name);
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            LOGGER.atSevere().withCause(failure).log("duty %s failed to stop", name);
        }
    }
}
