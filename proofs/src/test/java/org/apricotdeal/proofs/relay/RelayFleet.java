package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.misc.HostPort;
import org.apricotdeal.proofs.http.ScriptedServer;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.apricotdeal.relay.node.RelayNode;
import org.apricotdeal.relay.node.RelaySettings;
import org.apricotdeal.relay.policy.ColdBounds;
import org.apricotdeal.standins.users.UsersStoreStandin;
import org.apricotdeal.standins.users.UsersWorkerStandin;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayNode;
import org.apricotdeal.wire.gen.TRelayVmEntry;
import org.apricotdeal.wire.gen.TRelayVmNews;

/** A node in relay mode with a simulation of the users' platform: two replicas of two VMs each, and one plain service. */
final class RelayFleet implements AutoCloseable {
    static final String KEY = "key-1";
    static final long DRAIN_MILLIS = 3_000;
    private static final int READ_TIMEOUT_MILLIS = 8_000;

    final UsersStoreStandin store = new UsersStoreStandin();
    final List<UsersWorkerStandin> engines = new ArrayList<>();
    final UsersWorkerStandin service;
    final RelayNode node;
    final String callerAddress = freeAddress();
    final String readinessAddress = freeAddress();
    final String peerAddress = freeAddress();
    private long catalogueBytes;

    RelayFleet(int events, long gapMillis) throws Exception {
        this(events, gapMillis, DRAIN_MILLIS);
    }

    RelayFleet(int events, long gapMillis, long drainMillis) throws Exception {
        for (int i = 0; i < 4; i++) {
            engines.add(new UsersWorkerStandin(
                    store, new UsersWorkerStandin.Settings("e" + i, "chat", "a", "f" + i / 2, events, gapMillis)));
        }
        service = new UsersWorkerStandin(store, new UsersWorkerStandin.Settings("s0", "shop", "a", "", 0, 0));
        node = node(
                "n1",
                "a",
                List.of(new FailureDomainId("a")),
                new Ports(callerAddress, readinessAddress, peerAddress, freeAddress()),
                drainMillis,
                store.address(),
                ColdBounds.OFF);
        node.start();
    }

    /** Starts a fleet whose node serves by version 3 of the configuration. */
    static RelayFleet serving(int events, long gapMillis) throws Exception {
        return serving(events, gapMillis, DRAIN_MILLIS);
    }

    static RelayFleet serving(int events, long gapMillis, long drainMillis) throws Exception {
        RelayFleet fleet = new RelayFleet(events, gapMillis, drainMillis);
        try {
            fleet.configure(3, KEY);
            fleet.awaitServing(15);
            return fleet;
        } catch (Throwable e) {
            fleet.close();
            throw e;
        }
    }

    /** Returns a configuration whose routes leave requests 6 s. */
    static String patientConfiguration(long version) {
        return configuration(version, KEY)
                .replace("\"timeout-ms\":1000", "\"timeout-ms\":6000")
                .replace("\"timeout-ms\":2000", "\"timeout-ms\":6000");
    }

    /** An additional node that uses the same store. */
    record Member(RelayNode node, String callerAddress, String metricsAddress) implements AutoCloseable {
        @Override
        public void close() {
            node.close();
        }
    }

    /** Adds a node to a fleet with failure domains {@code d0}, {@code d1} and so on, which differ from that of the VMs. */
    Member addNode(String name, String failureDomain, int domains) throws Exception {
        return addNode(name, failureDomain, domains, store.address());
    }

    /** Adds a node that reaches the store at the given address. */
    Member addNode(String name, String failureDomain, int domains, String storeAddress) throws Exception {
        return addNode(name, failureDomain, domains, storeAddress, ColdBounds.OFF);
    }

    /** Adds a node that bounds the requests to cold VMs. */
    Member addNode(String name, String failureDomain, int domains, String storeAddress, ColdBounds coldBounds)
            throws Exception {
        List<FailureDomainId> all = new ArrayList<>();
        for (int i = 0; i < domains; i++) {
            all.add(new FailureDomainId("d" + i));
        }
        String callers = freeAddress();
        String metrics = freeAddress();
        Ports ports = new Ports(callers, freeAddress(), freeAddress(), metrics);
        RelayNode added = node(name, failureDomain, all, ports, DRAIN_MILLIS, storeAddress, coldBounds);
        added.start();
        return new Member(added, callers, metrics);
    }

    /** Addresses of a node's ports. */
    record Ports(String callers, String readiness, String peers, String metrics) {}

    /** Returns a node with the given ports, which has not been started. */
    static RelayNode node(
            String name,
            String failureDomain,
            List<FailureDomainId> domains,
            Ports ports,
            long drainMillis,
            String storeAddress,
            ColdBounds coldBounds) {
        return new RelayNode(new RelaySettings(
                name,
                new FailureDomainId(failureDomain),
                domains,
                false,
                ports.callers(),
                ports.readiness(),
                ports.peers(),
                HostPort.parse(ports.metrics()).port(),
                "users",
                storeAddress,
                500,
                1_000,
                drainMillis,
                10_000,
                0.2,
                20,
                1,
                0,
                0,
                coldBounds));
    }

    /** Writes a configuration with a stream route, a booking route and one customer. */
    void configure(long version, String... keys) {
        String written = configuration(version, keys);
        catalogueBytes = written.length();
        store.put("op/config", written);
    }

    /** Returns the configuration that {@link #configure} writes. */
    static String configuration(long version, String... keys) {
        return """
                {"version":%d,"routes":[
                {"name":"talk","host":"h.example","path-prefix":"/talk/","type":"streaming","timeout-ms":6000,
                "target-latency-ms":500,"priority":0,"service":"chat","max-attempts":2,"public":false,
                "session-affinity":true,"stream-resume":true,"target-gap-ms":300},
                {"name":"book","host":"h.example","path-prefix":"/book/","type":"non_idempotent","timeout-ms":1000,
                "target-latency-ms":300,"priority":1,"service":"shop","max-attempts":1,"public":false},
                {"name":"watch","host":"h.example","path-prefix":"/watch/","type":"streaming","timeout-ms":2000,
                "target-latency-ms":300,"priority":1,"service":"shop","max-attempts":2,"public":false,
                "session-affinity":false,"stream-resume":true,"target-gap-ms":300}],
                "services":[{"name":"chat","health-path":"/h","max-connections":50,"protocol":"h1","tls":false,
                "engine":{"slots":4,"kv-capacity":1000,"stride":5,"models":[{"name":"m1","size":2,"share":1.0,"pace":1.0,
                "load-s":0.1,"warm-s":0.1}],"step_ms":1,"per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":45900.0,
                "loads-per-s":50.0,"loads_at_once":7,"usual":{"prompt":10,"answer":10},"form-ms":50,"far_x":2.5,
                "report_lag_ms":0}},
                {"name":"shop","health-path":"/h","max-connections":50,"protocol":"h1","tls":false}],
                "limits":{"max-header-bytes":16384,"max-body-bytes":100000,"header-timeout-ms":3000,
                "idle-timeout-ms":15000},
                "tenants":[{"name":"customer-1","api-keys":["%s"],"priority":1}]}""".formatted(version, String.join("\",\"", keys));
    }

    /** Writes a configuration whose only route takes every path, for bookings of one customer. */
    void configureRoot(long version, String key) {
        store.put("op/config", """
                {"version":%d,"routes":[
                {"name":"root","host":"h.example","path-prefix":"/","type":"non_idempotent","timeout-ms":1000,
                "target-latency-ms":300,"priority":1,"service":"shop","max-attempts":1,"public":false}],
                "services":[{"name":"shop","health-path":"/h","max-connections":50,"protocol":"h1","tls":false}],
                "limits":{},"tenants":[{"name":"customer-1","api-keys":["%s"],"priority":1}]}""".formatted(version, key));
    }

    /** Returns the size of the last configuration written, in bytes. */
    long catalogueBytes() {
        return catalogueBytes;
    }

    /** Writes the entry of a VM of the plain service. */
    void registerService(String id, ScriptedServer vm, int slots) {
        store.put(
                "servers/" + id,
                "{\"service\":\"shop\",\"address\":\"" + vm.address() + "\",\"zone\":\"a\",\"version\":\"v1\","
                        + "\"slots\":" + slots
                        + ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1,\"born\":5}");
    }

    /** Replaces the VM of the plain service by another one, and waits until the node knows it. */
    void replaceService(String id, ScriptedServer vm, int slots) {
        store.remove("servers/s0");
        registerService(id, vm, slots);
        pause(1_500);
    }

    void awaitServing(int seconds) {
        await(seconds, () -> call("POST", "/talk/x", "warm", KEY).startsWith("HTTP/1.1 200"));
    }

    static void await(int seconds, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("the condition did not hold within " + seconds + " s");
            }
            pause(50);
        }
    }

    static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request on a new connection and returns all that is received until the connection closes. */
    String call(String method, String path, String id, String key) {
        return call(callerAddress, method, path, id, key);
    }

    String call(String address, String method, String path, String id, String key) {
        try (Socket socket = connect(address)) {
            send(socket, method, path, id, key);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "failed: " + e;
        }
    }

    /** Sends a stream request with the given parts of a prompt; returns the whole response. */
    String callWithPrompt(String address, String id, String promptParts) {
        try (Socket socket = connect(address)) {
            send(socket, "POST", "/talk/x", id, KEY + "\nX-Prefix-Hash: " + promptParts);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "failed: " + e;
        }
    }

    /** Sends the node a heartbeat of a node in a different failure domain, with changes of VM entries. */
    void sendHeartbeat(long upToRevision, TRelayVmEntry... changes) throws Exception {
        TRelayHeartbeat heartbeat = new TRelayHeartbeat(new TRelayNode("n2", "b", freeAddress(), 1), 0, List.of());
        heartbeat.setVmRevision(upToRevision);
        heartbeat.setStoreAway(false);
        heartbeat.setVmNews(new TRelayVmNews(upToRevision, List.of(changes)));
        exchange(heartbeat);
    }

    /** Sends the node a heartbeat request with the given body; returns the whole response. */
    String sendHeartbeat(byte[] body) throws IOException {
        try (Socket socket = connect(peerAddress)) {
            OutputStream out = socket.getOutputStream();
            String head = "POST /heartbeat HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Length: " + body.length
                    + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.write(body);
            // The body of the response is binary; ISO 8859-1 maps each byte to one character.
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /** Sends the node a heartbeat; returns the heartbeat in the response. */
    TRelayHeartbeat exchange(TRelayHeartbeat heartbeat) throws Exception {
        String answer = sendHeartbeat(new TSerializer(new TCompactProtocol.Factory()).serialize(heartbeat));
        if (!answer.startsWith("HTTP/1.1 200")) {
            throw new AssertionError("the heartbeat was rejected: " + answer);
        }
        TRelayHeartbeat own = new TRelayHeartbeat();
        byte[] body = answer.substring(answer.indexOf("\r\n\r\n") + 4).getBytes(StandardCharsets.ISO_8859_1);
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(own, body);
        return own;
    }

    String readiness() throws IOException {
        try (Socket socket = connect(readinessAddress)) {
            socket.getOutputStream()
                    .write("GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    Socket connect(String address) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(
                InetAddress.getLoopbackAddress(), HostPort.parse(address).port()));
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    static void send(Socket socket, String method, String path, String id, String key) throws IOException {
        OutputStream out = socket.getOutputStream();
        String body = method.equals("POST") ? "question" : "";
        String request = """
                %s %s HTTP/1.1
                Host: h.example
                Connection: close
                X-Attempt-Id: %s
                X-Model: m1
                X-Tenant: forged
                X-Target-Instance: forged
                X-Deadline-Ms: 5000
                Authorization: Bearer %s
                Content-Length: %d

                """.formatted(method, path, id, key, body.length()).replace("\n", "\r\n");
        out.write((request + body).getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static String readSome(InputStream in) throws IOException {
        byte[] bytes = new byte[1_024];
        int read = in.read(bytes);
        return read < 0 ? "" : new String(bytes, 0, read, StandardCharsets.UTF_8);
    }

    private static String freeAddress() {
        return "127.0.0.1:" + StandinFixture.freePort();
    }

    @Override
    public void close() {
        node.close();
        engines.forEach(UsersWorkerStandin::close);
        service.close();
        store.close();
    }
}
