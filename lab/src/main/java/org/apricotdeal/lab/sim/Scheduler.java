package org.apricotdeal.lab.sim;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.time.Clock;

/**
 * A virtual clock and its queue of tasks. Tasks run in the order of their times; ties go by the order in which they were
 * added, so that a run is a function of its seed.
 */
public final class Scheduler implements Clock {
    private static final long WALL_ORIGIN_MILLIS = 1_700_000_000_000L;

    private final PriorityQueue<Task> queue =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMicros).thenComparingLong(Task::sequence));
    private final UniformRandomProvider random;
    private long nowMicros;
    private long sequence;
    private long executed;

    private record Task(long atMicros, long sequence, Runnable body) {}

    /**
     * Creates a scheduler at time zero.
     *
     * @param seed seed of all randomness of the run
     */
    public Scheduler(long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    @Override
    public long monotonicMillis() {
        return nowMicros / 1_000;
    }

    @Override
    public long wallMillis() {
        return WALL_ORIGIN_MILLIS + monotonicMillis();
    }

    /**
     * Returns virtual time.
     *
     * @return microseconds since the start of the run
     */
    public long nowMicros() {
        return nowMicros;
    }

    /**
     * Returns the run's source of randomness.
     *
     * @return the seeded source
     */
    public UniformRandomProvider random() {
        return random;
    }

    /**
     * Returns how many tasks have run.
     *
     * @return number of tasks
     */
    public long executed() {
        return executed;
    }

    /**
     * Adds a task.
     *
     * @param delayMillis when it runs, from now
     * @param body the task
     */
    public void after(long delayMillis, Runnable body) {
        afterMicros(delayMillis * 1_000, body);
    }

    /**
     * Adds a task.
     *
     * @param delayMicros when it runs, from now
     * @param body the task
     */
    public void afterMicros(long delayMicros, Runnable body) {
        queue.add(new Task(nowMicros + Math.max(0, delayMicros), sequence++, body));
    }

    /**
     * Adds a task that repeats until the run ends.
     *
     * @param periodMillis time between two runs of the task
     * @param body the task
     */
    public void every(long periodMillis, Runnable body) {
        after(periodMillis, () -> {
            body.run();
            every(periodMillis, body);
        });
    }

    /**
     * Runs all tasks up to a time.
     *
     * @param untilMillis virtual time at which to stop
     */
    public void runUntil(long untilMillis) {
        long untilMicros = untilMillis * 1_000;
        while (!queue.isEmpty() && queue.peek().atMicros() <= untilMicros) {
            Task task = queue.poll();
            nowMicros = task.atMicros();
            executed++;
            task.body().run();
        }
        nowMicros = untilMicros;
    }
}
