package org.apricotdeal.standins.server;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.flogger.FluentLogger;
import org.apricotdeal.http.HttpClients;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** Threads, timers, buffers and the client that all stand-ins of a process share. */
public final class StandinThreads implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_THREADS = 512;
    private static final int MIN_THREADS = 8;
    private static final int TIMER_THREADS = 2;
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    private final QueuedThreadPool pool = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
    private final Scheduler jettyScheduler = new ScheduledExecutorScheduler("standins-jetty", true);
    private final ByteBufferPool buffers = new ArrayByteBufferPool();
    private final ScheduledThreadPoolExecutor timers;
    private final HttpClient client;

    /** Starts the threads. */
    public StandinThreads() {
        pool.setName("standins");
        pool.setDaemon(true);
        AtomicInteger count = new AtomicInteger();
        timers = new ScheduledThreadPoolExecutor(TIMER_THREADS, task -> Thread.ofPlatform()
                .name("standins-timer-" + count.incrementAndGet())
                .daemon(true)
                .unstarted(task));
        timers.setRemoveOnCancelPolicy(true);
        timers.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        client = HttpClients.start("standins-client", CONNECT_TIMEOUT_MILLIS);
        try {
            pool.start();
            jettyScheduler.start();
        } catch (Exception e) {
            throw new IllegalStateException("the stand-ins' threads could not be started", e);
        }
    }

    QueuedThreadPool pool() {
        return pool;
    }

    Scheduler jettyScheduler() {
        return jettyScheduler;
    }

    ByteBufferPool buffers() {
        return buffers;
    }

    /**
     * Returns the client for calls between stand-ins.
     *
     * @return the started client
     */
    public HttpClient client() {
        return client;
    }

    /**
     * Runs a task on a timer thread after a delay; the task must not block.
     *
     * @param delayMicros delay in microseconds; not positive for at once
     * @param task the task; its failure is logged
     */
    public void afterMicros(long delayMicros, Runnable task) {
        if (timers.isShutdown()) {
            return;
        }
        var unused = timers.schedule(() -> runLogged(task), Math.max(0, delayMicros), TimeUnit.MICROSECONDS);
    }

    /**
     * Runs a task on a timer thread after a delay; the task must not block.
     *
     * @param delayMillis delay in milliseconds
     * @param task the task; its failure is logged
     */
    public void afterMillis(long delayMillis, Runnable task) {
        afterMicros(TimeUnit.MILLISECONDS.toMicros(delayMillis), task);
    }

    /**
     * Runs a task that may block on a thread of the pool.
     *
     * @param task the task; its failure is logged
     */
    public void run(Runnable task) {
        pool.execute(() -> runLogged(task));
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("a task of a stand-in failed");
        }
    }

    @Override
    public void close() {
        timers.shutdownNow();
        HttpClients.stop(client);
        try {
            jettyScheduler.stop();
            pool.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the stand-ins' threads could not be stopped", e);
        }
    }
}
