package org.apricotdeal.proofs.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process of the test: a Java program of this build, ended with the test at the latest. */
final class ChildProcess {
    private static final long STOP_SECONDS = 30;

    private final Process process;

    private ChildProcess(Process process) {
        this.process = process;
    }

    static ChildProcess start(Path log, Class<?> main, List<String> arguments) throws IOException {
        return start(log, List.of(), List.of("-Xmx96m"), main, arguments);
    }

    /** Starts a program with a command before that of Java, such as one that lowers limits, and with options of Java. */
    static ChildProcess start(
            Path log, List<String> prefix, List<String> options, Class<?> main, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>(prefix);
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.add(main.getName());
        command.addAll(arguments);
        File output = log.toFile();
        return new ChildProcess(new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start());
    }

    /** Sends a signal by name, such as {@code STOP}. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Ends the process at once, as a lost VM ends. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(STOP_SECONDS, TimeUnit.SECONDS);
    }

    /** Asks the process to stop and returns its exit status. */
    int terminate() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("process " + process.pid() + " did not stop");
        }
        return process.exitValue();
    }

    /** Returns the maximum memory that was resident since the start, in kilobytes; 0 if the process has ended. */
    long peakKilobytes() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", ""));
            }
        }
        return 0;
    }

    /** Returns the number of open descriptors. */
    int descriptors() {
        String[] names =
                Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
        return names == null ? 0 : names.length;
    }

    boolean isAlive() {
        return process.isAlive();
    }
}
