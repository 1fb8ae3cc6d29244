package org.apricotdeal.proofs.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotdeal.node.NodeMain;
import org.apricotdeal.proofs.http.ScriptedServer;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.apricotdeal.standins.users.UsersStoreStandin;
import org.apricotdeal.standins.users.UsersWorkerStandin;

/**
 * One node in relay mode as a process with little memory and few descriptors, before a VM that answers ({@code /book/}), VMs
 * that never answer ({@code /hold/}), a VM with large answers ({@code /load/}) and one that tells the size of a request
 * ({@code /size/}), and its clients.
 */
final class HostileFleet implements AutoCloseable {
    /** Maximum number of descriptors of the node. */
    static final int MAX_DESCRIPTORS = 400;

    /** Maximum size of a body. */
    static final int BODY_BYTES = 1024 * 1024;

    /** Maximum size of a head. */
    static final int HEAD_BYTES = 20_000;

    /** Maximum time for a head to arrive. */
    static final int HEAD_MILLIS = 3_000;

    /** Size of an answer of the VM with large answers; more than a connection buffers. */
    private static final int ANSWER_BYTES = 3_500_000;

    private static final int HOLDING_VMS = 6;
    private static final int PART_BYTES = 16 * 1024;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int STATUS_BYTES = "HTTP/1.1 200".length();
    private static final String KEY = "key-1";

    private final UsersStoreStandin store = new UsersStoreStandin();
    private final List<ScriptedServer> vms = new ArrayList<>();
    private final UsersWorkerStandin service;
    private final Set<String> sized = ConcurrentHashMap.newKeySet();
    private final List<Socket> clients = Collections.synchronizedList(new ArrayList<>());
    private final int callerPort = StandinFixture.freePort();
    private final int metricsPort = StandinFixture.freePort();
    private final Path directory = Files.createTempDirectory("hostile");
    final ChildProcess node;

    HostileFleet() throws Exception {
        service = new UsersWorkerStandin(store, new UsersWorkerStandin.Settings("s0", "shop", "a", "", 0, 0));
        for (int i = 0; i < HOLDING_VMS; i++) {
            register("h" + i, "hold", new ScriptedServer(connection -> {
                connection.read();
                connection.read();
            }));
        }
        register("l0", "load", new ScriptedServer(HostileFleet::answerMuch));
        register("w0", "size", new ScriptedServer(this::answerSize));
        configure(1, 0);
        Path settings = directory.resolve("node.ini");
        Files.writeString(settings, settings());
        node = ChildProcess.start(
                directory.resolve("node.log"),
                List.of("/bin/sh", "-c", "ulimit -n " + MAX_DESCRIPTORS + " && exec \"$0\" \"$@\""),
                List.of("-Xmx64m", "-Xss256k", "-XX:+ExitOnOutOfMemoryError"),
                NodeMain.class,
                List.of("--settings", settings.toString()));
        ProcessFleet.await("the node serves", () -> ordinaryRequest().startsWith("HTTP/1.1 200"));
    }

    private static void answerMuch(ScriptedServer.Connection connection) throws IOException {
        String id = connection.read().header("x-attempt-id");
        connection.write(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\nConnection: close\r\n"
                        + "Content-Length: " + ANSWER_BYTES + "\r\n\r\n" + "a".repeat(ANSWER_BYTES));
    }

    /** Answers with the number of lines named a and the size of the body. */
    private void answerSize(ScriptedServer.Connection connection) throws IOException {
        ScriptedServer.Received received = connection.read();
        sized.add(received.header("x-attempt-id"));
        String size =
                received.head().lines().filter(line -> line.startsWith("a:")).count() + " lines, "
                        + received.body().length() + " bytes";
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + received.header("x-attempt-id")
                + "\r\nX-Response-Signature: s\r\nConnection: close\r\nContent-Length: " + size.length() + "\r\n\r\n"
                + size);
    }

    private void register(String id, String service, ScriptedServer vm) {
        vms.add(vm);
        store.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + vm.address()
                        + "\",\"zone\":\"a\",\"version\":\"v1\","
                        + "\"slots\":400,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":5}");
    }

    /** Returns whether the VM that tells the size of a request has received the request with an id. */
    boolean isReceived(String id) {
        return sized.contains(id);
    }

    /** Writes the catalogue with a number of keys that nobody uses. */
    void configure(int version, int unusedKeys) {
        StringBuilder keys = new StringBuilder("\"" + KEY + "\"");
        for (int i = 0; i < unusedKeys; i++) {
            keys.append(",\"unused-key-").append(version).append('-').append(i).append('"');
        }
        store.put("op/config", catalogue(version, keys.toString()));
    }

    private static String catalogue(int version, String keys) {
        StringBuilder routes = new StringBuilder();
        StringBuilder services = new StringBuilder();
        for (String[] route : new String[][] {{"book", "shop"}, {"hold", "hold"}, {"load", "load"}, {"size", "size"}}) {
            String comma = routes.isEmpty() ? "" : ",";
            routes.append(comma).append("""
                    {"name":"%s","host":"h.example","path-prefix":"/%s/","type":"non_idempotent","timeout-ms":60000,
                    "target-latency-ms":60000,"priority":1,"service":"%s","max-attempts":1,"public":false}
                    """.formatted(route[0], route[0], route[1]));
            services.append(comma).append("""
                    {"name":"%s","health-path":"/h","max-connections":400,"protocol":"h1","tls":false}
                    """.formatted(route[1]));
        }
        return """
                {"version":%d,"routes":[%s],"services":[%s],
                "limits":{"max-header-bytes":%d,"max-body-bytes":%d,"header-timeout-ms":%d,"idle-timeout-ms":60000},
                "tenants":[{"name":"customer-1","api-keys":[%s],"priority":1}]}
                """.formatted(version, routes, services, HEAD_BYTES, BODY_BYTES, HEAD_MILLIS, keys);
    }

    private String settings() {
        return """
                [relay]
                name = n1
                failureDomain = a
                failureDomains = a
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
                repeatAllowance = 20
                """.formatted(
                        callerPort, StandinFixture.freePort(), StandinFixture.freePort(), metricsPort, store.address());
    }

    /** Returns the beginning of a request; further headers and an empty line have to follow. */
    static String head(String path, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer "
                + KEY + "\r\n";
    }

    /** Sends one request with a small body on a new connection; returns the whole answer, or why there is none. */
    String ordinaryRequest() {
        return request(ordinary("ordinary"));
    }

    /** Returns a request with a small body whose answer ends its connection. */
    static String ordinary(String id) {
        return head("/book/x", id) + "Connection: close\r\nContent-Length: 8\r\n\r\nquestion";
    }

    /** Sends one request on a new connection; returns the whole answer, or why there is none. */
    String request(String text) {
        try (Socket socket = connect(0)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "failed: " + e;
        }
    }

    /** Sends a request again on its connection after a pause; returns the status of the second answer, or why there is none. */
    String requestAfterPause(String text, long pauseMillis) throws InterruptedException {
        try (Socket socket = connect(0)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(bytes);
            Thread.sleep(pauseMillis);
            InputStream answers = socket.getInputStream();
            answers.skipNBytes(answers.available());
            socket.getOutputStream().write(bytes);
            return new String(answers.readNBytes(STATUS_BYTES), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "failed: " + e;
        }
    }

    /** Returns the value of a metric of the node; 0 if there is none. */
    long metric(String name) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), metricsPort)) {
            String get = "GET /metrics HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(get.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.startsWith(name + " "))
                    .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
                    .sum();
        }
    }

    /** Returns what the lines {@code caller_curbed} of the node's log name as limits. */
    List<String> curbed() throws IOException {
        return Files.readAllLines(directory.resolve("node.log")).stream()
                .filter(line -> line.contains(" event=caller_curbed "))
                .map(line -> line.replaceAll(
                        ".* limit=([a-z.]+) connections=\\d+ bodyBytes=\\d+ " + "headBytes=\\d+ answerBytes=\\d+$",
                        "$1"))
                .distinct()
                .toList();
    }

    Socket connect(int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), callerPort), READ_TIMEOUT_MILLIS);
        return socket;
    }

    /**
     * Starts clients that all send the same bytes, read nothing, and keep their connections open; returns when all have
     * sent what the node accepts.
     *
     * @param count number of clients
     * @param start first bytes of each
     * @param part bytes that each repeats afterwards
     * @param parts number of repetitions
     */
    void crowd(int count, String start, String part, int parts) throws InterruptedException {
        List<Thread> senders = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String own = start.replace("X-Attempt-Id: ", "X-Attempt-Id: " + i + "-");
            senders.add(Thread.ofVirtual().start(() -> send(own, part, parts, 0)));
        }
        for (Thread sender : senders) {
            sender.join(READ_TIMEOUT_MILLIS / 2);
        }
    }

    /**
     * Starts clients that send a part again and again with a pause after each, and returns at once.
     *
     * @param count number of clients
     * @param start first bytes of each
     * @param part bytes that each repeats
     * @param parts number of repetitions
     * @param pauseMillis time between two parts
     */
    void trickle(int count, String start, String part, int parts, long pauseMillis) {
        for (int i = 0; i < count; i++) {
            String own = start.replace("X-Attempt-Id: ", "X-Attempt-Id: " + i + "-");
            Thread.ofVirtual().start(() -> send(own, part, parts, pauseMillis));
        }
    }

    private void send(String start, String part, int parts, long pauseMillis) {
        try {
            Socket socket = connect(PART_BYTES);
            clients.add(socket);
            OutputStream out = socket.getOutputStream();
            out.write(start.getBytes(StandardCharsets.UTF_8));
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < parts; i++) {
                out.write(bytes);
                Thread.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The node or the test has closed the connection, or the node accepts no more.
        }
    }

    /** Closes the connections of all clients. */
    void leave() throws IOException {
        for (Socket client : List.copyOf(clients)) {
            client.close();
        }
    }

    String log() throws IOException {
        String text = Files.readString(directory.resolve("node.log"));
        return text.substring(Math.max(0, text.length() - 2_000));
    }

    @Override
    public void close() {
        try {
            leave();
            node.kill();
            for (ScriptedServer vm : vms) {
                vm.close();
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException("failed to stop the node", e);
        }
        service.close();
        store.close();
    }
}
