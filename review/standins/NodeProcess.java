import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A node, started with the command of deploy/system.toml and settings in the layout of deploy/node.ini.template. */
final class NodeProcess implements AutoCloseable {
    final int callerPort = Http.freePort();
    final int readinessPort = Http.freePort();
    final int peerPort = Http.freePort();
    final Path output;
    private final Path settings;
    Process process;

    NodeProcess(String name, String zone, String zones, String storeAddress) throws IOException {
        output = Case.folder.resolve(name + ".log");
        settings = Case.folder.resolve(name + ".ini");
        Files.writeString(settings, """
                [relay]
                name = %s
                failureDomain = %s
                failureDomains = %s
                firstStart = true

                [listen]
                callers = 127.0.0.1:%d
                readiness = 127.0.0.1:%d
                peers = 127.0.0.1:%d
                metricsPort = %d

                [platform]
                adapter = users
                storeAddress = %s

                [limits]
                stallMillis = 4000
                drainMillis = 8000
                repeatWindowMillis = 10000
                repeatRatio = 0.2
                repeatAllowance = 109
                """.formatted(name, zone, zones, callerPort, readinessPort, peerPort, Http.freePort(), storeAddress));
    }

    void start() throws IOException {
        Path root = Case.root;
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
        List<String> command = new ArrayList<>(List.of(run.split(" ")));
        command.set(command.indexOf("/etc/apricotdeal/boot.json"), settings.toString());
        command.set(0, root.resolve(command.getFirst()).toString());
        process = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()))
                .start();
        Case.record("node started, pid " + process.pid());
    }

    /** Waits until the node says that it is ready. */
    void awaitReady(long timeoutMillis) {
        long until = Case.millis() + timeoutMillis;
        while (Case.millis() < until) {
            if (ready()) {
                Case.record("node is ready");
                return;
            }
            Case.sleep(100);
        }
        throw new Case.CannotRun("the node is not ready; its output is " + tail());
    }

    boolean ready() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), readinessPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"));
            Http.Message answer = Http.read(Http.buffered(socket));
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String tail() {
        try {
            List<String> lines = Files.readAllLines(output);
            return String.join(" | ", lines.subList(Math.max(0, lines.size() - 8), lines.size()));
        } catch (IOException e) {
            return "";
        }
    }

    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            Case.record("SIG" + name + " sent to the node");
        } catch (IOException | InterruptedException e) {
            throw new Case.CannotRun("no signal could be sent: " + e);
        }
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
