package org.apricotdeal.proofs.node;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.http.EtcdKeyValueStore;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.node.Node;
import org.apricotdeal.node.settings.NodeSettings;
import org.apricotdeal.platform.SwapOutcome;
import org.apricotdeal.proofs.standins.StandinFixture;

import static org.testng.Assert.assertFalse;

/** Runs complete nodes in the test process, with stand-ins on free ports as platform and upstreams. */
final class NodeFixture implements AutoCloseable {
    /** API key of the caller in the test catalogue. */
    static final String KEY = "sample-key-alpenbau";

    private static final String CATALOGUE = """
            [class urgent]
            owner = test
            priority = 0
            floorShare = 0.5
            firstTokenTargetMillis = 5000
            deadlineMillis = 20000
            preemptible = false
            maxQueued = 400

            [class overnight]
            owner = test
            priority = 1
            floorShare = 0.1
            firstTokenTargetMillis = 600000
            deadlineMillis = 3600000
            preemptible = true
            maxQueued = 2000

            [model quote]
            owner = test
            vmsPerReplica = 2
            replicasPerFailureDomain = 2
            maxStreamsPerReplica = 16
            loadTimeoutMillis = 60000
            orderCheck = honours-fencing
            orderMaxDelayMillis = 500
            worth = 1

            [service desk]
            owner = test
            classId = urgent
            repeatablePaths = /lookup
            maxInFlightPerVm = 8
            timeoutMillis = 5000
            claimRetentionMillis = 60000

            [policy]
            owner = test
            suspectMillis = 500
            failMillis = 1500

            [caller alpenbau]
            owner = test
            keySha256 = %s
            weight = 8
            classes = urgent, overnight
            upstreams = quote, desk
            tokensPerSecond = 60000
            requestsPerSecond = 600
            maxInFlight = 200
            """;

    private final StandinFixture standins;
    private final List<Node> nodes = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();

    private NodeFixture(StandinFixture standins) {
        this.standins = standins;
    }

    /** Starts the stand-ins and the given number of nodes, all in failure domain {@code fd1}. */
    static NodeFixture start(String standinIni, int nodeCount) throws Exception {
        NodeFixture fixture = new NodeFixture(StandinFixture.start(standinIni));
        fixture.applyCatalogue();
        for (int i = 1; i <= nodeCount; i++) {
            fixture.startNode("node" + i);
        }
        return fixture;
    }

    private void applyCatalogue() throws Exception {
        Findings findings = new Findings();
        String text = CATALOGUE.formatted(CatalogueCodec.keyHash(KEY));
        List<Entry> entries =
                List.copyOf(IniCatalogue.parse("catalogue.ini", text, findings).entries());
        assertFalse(findings.hasErrors(), findings.toString());
        var http = HttpClients.start("apply", 2_000);
        EtcdKeyValueStore store = new EtcdKeyValueStore(http, "127.0.0.1:" + standins.port("platform"), 2_000);
        byte[] value = CatalogueCodec.encode(Catalogue.of(1, "first", entries));
        var result = store.compareAndSwap("/apricotdeal/catalogue", 0, value, 0);
        assertFalse(
                !(result instanceof org.apricotdeal.kernel.result.Result.Ok<?, ?>(SwapOutcome.Swapped swapped)),
                String.valueOf(result));
        http.stop();
    }

    Node startNode(String name) throws Exception {
        Findings findings = new Findings();
        String ini = """
                [node]
                name = %s
                failureDomain = fd1
                callerPort = 0
                peerPort = %d

                [platform]
                keyValueAddress = 127.0.0.1:%d

                [timing]
                drainDelayMillis = 200
                """.formatted(name, standins.port(name), standins.port("platform"));
        NodeSettings settings = NodeSettings.read(IniFile.parse(name + ".ini", ini, findings), findings);
        assertFalse(findings.hasErrors(), findings.toString());
        Node node = new Node(settings);
        node.start();
        nodes.add(node);
        return node;
    }

    StandinFixture standins() {
        return standins;
    }

    Node node(int index) {
        return nodes.get(index);
    }

    /** Sends a request to the caller port of a node. */
    HttpResponse<String> send(int node, String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + nodes.get(node).callerPort() + path))
                .version(HttpClient.Version.HTTP_1_1)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a completion request for the model {@code quote}. */
    HttpResponse<String> complete(int node, String prompt, int maxTokens, boolean stream)
            throws IOException, InterruptedException {
        String body = "{\"model\":\"quote\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%s}"
                .formatted(prompt, maxTokens, stream);
        return send(node, "POST", "/v1/completions", body, "authorization", "Bearer " + KEY);
    }

    /** Waits until a node serves completions. */
    void awaitServing(int node) throws Exception {
        StandinFixture.await("a completion is served", () -> {
            try {
                return complete(node, "ready", 1, false).statusCode() == 200;
            } catch (IOException e) {
                return false;
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    @Override
    public void close() {
        for (Node node : nodes) {
            node.close();
        }
        standins.close();
    }
}
