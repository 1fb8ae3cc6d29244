package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What all callers of a node together may hold, as shares of the memory and the descriptors of its process.
 *
 * @param bodyBytes maximum size of the bodies of requests
 * @param headBytes maximum memory of large heads of requests
 * @param answerBytes maximum size of buffered parts of responses, and of responses that callers have not read
 * @param connections maximum number of callers' connections
 */
record ResourceLimits(long bodyBytes, long headBytes, long answerBytes, int connections) {
    private static final int BODY_PART = 4;
    private static final int OTHER_PART = 8;
    private static final int MEGABYTE = 1024 * 1024;

    /** Descriptors of files, which are not available to connections. */
    private static final int FILE_DESCRIPTORS = 200;

    /** One in four connections is to a VM, to the store or to another node. */
    private static final double CALLER_SHARE = 0.75;

    private static final int MIN_CONNECTIONS = 16;
    private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
    private static final int DESCRIPTOR_COLUMN = 3;

    /**
     * Returns the limits of a process.
     *
     * @param memoryMegabytes memory of the machine in megabytes, half of which the heap may use; 0 if it is not known
     * @param maxDescriptors maximum number of descriptors; 0 for that of the operating system
     */
    static ResourceLimits of(int memoryMegabytes, int maxDescriptors) {
        long heapBytes = Runtime.getRuntime().maxMemory();
        if (memoryMegabytes > 0) {
            heapBytes = Math.min(heapBytes, (long) memoryMegabytes * MEGABYTE / 2);
        }
        long descriptors = maxDescriptors > 0 ? maxDescriptors : operatingSystemDescriptors();
        double share = CALLER_SHARE * (descriptors - FILE_DESCRIPTORS);
        int connections = Math.clamp((long) share, MIN_CONNECTIONS, Integer.MAX_VALUE);
        return new ResourceLimits(heapBytes / BODY_PART, heapBytes / OTHER_PART, heapBytes / OTHER_PART, connections);
    }

    /** Reads the limit from the process's entry in the file system, which needs no module of the JDK beyond the base. */
    private static long operatingSystemDescriptors() {
        try {
            for (String line : Files.readAllLines(PROCESS_LIMITS)) {
                String[] columns = line.trim().split("\\s+", -1);
                if (line.startsWith("Max open files") && columns[DESCRIPTOR_COLUMN].matches("\\d{1,9}")) {
                    return Long.parseLong(columns[DESCRIPTOR_COLUMN]);
                }
            }
        } catch (IOException e) {
            // The operating system has no such file.
        }
        return Integer.MAX_VALUE;
    }
}
