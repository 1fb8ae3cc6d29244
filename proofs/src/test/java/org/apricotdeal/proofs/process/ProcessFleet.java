package org.apricotdeal.proofs.process;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.http.EtcdKeyValueStore;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.NodeMain;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.SwapOutcome;
import org.apricotdeal.proofs.standins.StandinFixture;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.fail;

/** Two nodes, five model VMs for two replicas of two and a spare, and two service VMs, each a process of its own. */
final class ProcessFleet implements AutoCloseable {
    /** The sample key of the caller that tests use. */
    static final String KEY = "sample-key-process";

    private static final long PATIENCE_MILLIS = 45_000;
    private static final long POLL_MILLIS = 50;
    private static final Duration REQUEST_PATIENCE = Duration.ofSeconds(40);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path directory;
    private final Map<String, Integer> ports = new TreeMap<>();
    private final Map<String, ChildProcess> processes = new TreeMap<>();
    private final HttpClient client = HttpClient.newBuilder()
            .connectTimeout(Duration.ofSeconds(2))
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final org.eclipse.jetty.client.HttpClient platformClient = HttpClients.start("fleet", 2_000);

    private ProcessFleet(Path directory) {
        this.directory = directory;
    }

    static ProcessFleet start() throws Exception {
        ProcessFleet fleet = new ProcessFleet(Files.createTempDirectory("apricotdeal"));
        try {
            fleet.startAll();
        } catch (Exception | AssertionError e) {
            fleet.close();
            throw e;
        }
        return fleet;
    }

    private void startAll() throws Exception {
        writeFleet();
        startStandin("platform");
        for (String vm : List.of("vm1", "vm2", "vm3", "vm4", "vm5", "desk1", "desk2")) {
            startStandin(vm);
        }
        startNode("node1");
        startNode("node2");
        awaitApplied();
        awaitServing("node1");
        awaitServing("node2");
    }

    private void writeFleet() throws IOException {
        StringBuilder ini = new StringBuilder();
        ini.append("[platform platform]\nport = ").append(port("platform")).append("\nvmListLagMillis = 0\n");
        ini.append("[defaults quote]\nfailureDomain = fd1\nfabricDomain = fabric1\naccelerators = 8\n")
                .append("tokenMillis = 20\nfirstTokenMillis = 20\nloadMillis = 200\nloadReportLagMillis = 50\n");
        for (int i = 1; i <= 5; i++) {
            ini.append("[vm vm%d]\nupstream = quote\nport = %d\n".formatted(i, port("vm" + i)));
        }
        for (int i = 1; i <= 2; i++) {
            ini.append("[vm desk%d]\nkind = service\nupstream = desk\nfailureDomain = fd1\nport = %d\n"
                    .formatted(i, port("desk" + i)));
            ini.append("[vm node%d]\nkind = entry\nfailureDomain = fd1\nport = %d\n".formatted(i, port("node" + i)));
        }
        Files.writeString(directory.resolve("fleet.ini"), ini);
    }

    private int port(String name) {
        return ports.computeIfAbsent(name, absent -> StandinFixture.freePort());
    }

    /** Starts the process of one stand-in. */
    void startStandin(String name) throws IOException {
        List<String> arguments = List.of(directory.resolve("fleet.ini").toString(), "--only", name);
        processes.put(name, ChildProcess.start(directory.resolve(name + ".log"), StandinProcess.class, arguments));
    }

    /** Starts the process of one node. */
    void startNode(String name) throws IOException {
        String ini = """
                [node]
                name = %s
                failureDomain = fd1
                callerPort = %d
                peerPort = %d

                [platform]
                keyValueAddress = 127.0.0.1:%d
                callTimeoutMillis = 1000

                [timing]
                drainDelayMillis = 500
                """.formatted(name, port(name + "-callers"), port(name), port("platform"));
        Path settings = directory.resolve(name + ".ini");
        Files.writeString(settings, ini);
        List<String> arguments = List.of("--settings", settings.toString());
        processes.put(name, ChildProcess.start(directory.resolve(name + ".log"), NodeMain.class, arguments));
    }

    ChildProcess process(String name) {
        return processes.get(name);
    }

    private void awaitApplied() throws Exception {
        await("the catalogue is applied", () -> change(1, text -> text));
    }

    /** Makes a version of the catalogue from the descriptor's text; true where it was accepted. */
    boolean change(long version, UnaryOperator<String> edit) throws Exception {
        Findings findings = new Findings();
        String descriptor = new String(
                ProcessFleet.class.getResourceAsStream("/process/catalogue.ini").readAllBytes(),
                StandardCharsets.UTF_8);
        String text = edit.apply(descriptor.replace("${keySha256}", CatalogueCodec.keyHash(KEY)));
        List<Entry> entries =
                List.copyOf(IniCatalogue.parse("catalogue.ini", text, findings).entries());
        assertFalse(findings.hasErrors(), findings.toString());
        EtcdKeyValueStore store = new EtcdKeyValueStore(platformClient, "127.0.0.1:" + port("platform"), 1_000);
        long revision = store.get("/apricotdeal/catalogue") instanceof Result.Ok<?, ?>(java.util.Optional<?> found)
                        && found.isPresent()
                ? ((org.apricotdeal.platform.VersionedValue) found.get()).revision()
                : 0;
        byte[] value = CatalogueCodec.encode(Catalogue.of(version, "change-" + version, entries));
        Result<SwapOutcome, PlatformError> result = store.compareAndSwap("/apricotdeal/catalogue", revision, value, 0);
        return result instanceof Result.Ok<SwapOutcome, PlatformError>(SwapOutcome.Swapped swapped);
    }

    /** Sends a completion request. */
    HttpResponse<String> complete(String node, String prompt, int maxTokens, boolean stream)
            throws IOException, InterruptedException {
        return send(node, "POST", "/v1/completions", completion(prompt, maxTokens, stream));
    }

    /** Sends a completion request for a stream, tells of its first token, and returns the whole body. */
    String stream(String node, String prompt, int maxTokens, Runnable onFirstToken)
            throws IOException, InterruptedException {
        HttpRequest request = request(node, "POST", "/v1/completions", completion(prompt, maxTokens, true))
                .build();
        StringBuilder body = new StringBuilder();
        boolean begun = false;
        try (Reader reader = new InputStreamReader(
                client.send(request, HttpResponse.BodyHandlers.ofInputStream()).body(), StandardCharsets.UTF_8)) {
            char[] piece = new char[1_024];
            for (int read = reader.read(piece); read >= 0; read = reader.read(piece)) {
                body.append(piece, 0, read);
                if (!begun && body.indexOf("\"offset\"") >= 0) {
                    begun = true;
                    onFirstToken.run();
                }
            }
        }
        return body.toString();
    }

    private static String completion(String prompt, int maxTokens, boolean stream) {
        return "{\"model\":\"quote\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%s}"
                .formatted(prompt, maxTokens, stream);
    }

    /** Sends a request to a node's port for callers. */
    HttpResponse<String> send(String node, String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = request(node, method, path, body);
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String node, String method, String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(node + "-callers") + path))
                .timeout(REQUEST_PATIENCE)
                .header("authorization", "Bearer " + KEY)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
    }

    /** Reads JSON from a process's admin or stand-in path. */
    JsonNode get(String name, String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(name) + path))
                .timeout(Duration.ofSeconds(5))
                .build();
        return JSON.readTree(
                client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    /** Posts JSON to a stand-in. */
    void post(String name, String path, String json) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port(name) + path))
                .timeout(Duration.ofSeconds(5))
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
        int status = client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        assertFalse(status >= 300, path + " answered " + status);
    }

    /** Tells whether a node reports ready, as a balancer asks. */
    boolean isReady(String node) {
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + port(node + "-callers") + "/readyz"))
                    .timeout(Duration.ofSeconds(5))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Waits until a node reports ready. */
    void awaitReady(String node) throws Exception {
        await(node + " is ready", () -> isReady(node));
    }

    /** Waits until a node is ready and serves a completion. */
    void awaitServing(String node) throws Exception {
        awaitReady(node);
        await(node + " serves", () -> complete(node, "ready", 1, false).statusCode() == 200);
    }

    /** Names of executions of a service by idempotency key, over both service VMs. */
    List<String> executedKeys() throws Exception {
        List<String> keys = new ArrayList<>();
        for (String desk : List.of("desk1", "desk2")) {
            for (JsonNode execution : get(desk, "/standin/executions").path("executions")) {
                keys.add(execution.path("idempotencyKey").asText());
            }
        }
        return keys;
    }

    /** Something that may fail while a process is away. */
    interface Check {
        boolean holds() throws Exception;
    }

    /** Waits until something holds; what fails meanwhile counts as not holding. */
    static void await(String what, Check check) throws Exception {
        long deadlineNanos = System.nanoTime() + PATIENCE_MILLIS * 1_000_000;
        Exception last = null;
        while (System.nanoTime() < deadlineNanos) {
            try {
                if (check.holds()) {
                    return;
                }
            } catch (IOException e) {
                last = e;
            }
            Thread.sleep(POLL_MILLIS);
        }
        fail("not within " + PATIENCE_MILLIS + " ms: " + what, last);
    }

    @Override
    public void close() {
        for (ChildProcess process : processes.values()) {
            try {
                process.kill();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            platformClient.stop();
        } catch (Exception e) {
            throw new IllegalStateException("client cannot stop", e);
        }
    }
}
