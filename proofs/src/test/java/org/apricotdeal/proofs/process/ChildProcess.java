package org.apricotdeal.proofs.process;

import java.io.File;
import java.io.IOException;
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
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
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

    boolean isAlive() {
        return process.isAlive();
    }
}
