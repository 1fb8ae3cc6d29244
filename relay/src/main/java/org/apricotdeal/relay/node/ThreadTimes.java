package org.apricotdeal.relay.node;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Processor time of the threads of this process, as the kernel accounts for it: compiler and garbage collector included, which
 * the thread beans of the runtime leave out.
 */
final class ThreadTimes {
    private static final Path TASKS = Path.of("/proc/self/task");

    private ThreadTimes() {}

    /**
     * Returns the processor time of the threads that run now.
     *
     * @return milliseconds since the start by thread name, summed over names that differ by their number; empty on a platform
     * that does not tell
     */
    static Map<String, Long> millisByName() {
        Map<String, Long> nanos = new TreeMap<>();
        File[] tasks = TASKS.toFile().listFiles();
        if (tasks == null) {
            return nanos;
        }
        for (File task : tasks) {
            try {
                String name = read(task, "comm").replaceAll("[0-9@#-].*$", "").strip();
                String times = read(task, "schedstat");
                int end = times.indexOf(' ');
                if (end > 0) {
                    nanos.merge(name, Long.parseLong(times, 0, end, 10), Long::sum);
                }
            } catch (IOException | NumberFormatException e) {
                // The thread has ended meanwhile, or the kernel does not account for it.
            }
        }
        nanos.replaceAll((name, total) -> TimeUnit.NANOSECONDS.toMillis(total));
        return nanos;
    }

    private static String read(File task, String name) throws IOException {
        return Files.readString(task.toPath().resolve(name));
    }
}
