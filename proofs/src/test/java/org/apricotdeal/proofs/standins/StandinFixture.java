package org.apricotdeal.proofs.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.standins.StandinFleet;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.fail;

/** Stand-ins on free ports of the loopback address, and a client for them. */
public final class StandinFixture implements AutoCloseable {
    /** Long enough for anything that happens at all on a busy machine. */
    public static final long PATIENCE_MILLIS = 20_000;

    private static final long POLL_MILLIS = 10;
    private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final Pattern PORT = Pattern.compile("\\$\\{([a-z0-9-]+)}");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 16_000;
    private static final int PORTS_PER_PROCESS = 97;
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger((int) (ProcessHandle.current().pid() % PORTS) * PORTS_PER_PROCESS);

    private final Map<String, Integer> ports = new HashMap<>();
    private final HttpClient client = HttpClients.start("test-client", CONNECT_TIMEOUT_MILLIS);
    private final HttpClient control = HttpClients.start("test-control", CONNECT_TIMEOUT_MILLIS);
    private final StandinFleet fleet;

    private StandinFixture(String ini) {
        Matcher matcher = PORT.matcher(ini);
        String text = matcher.replaceAll(match -> Integer.toString(port(match.group(1))));
        Findings findings = new Findings();
        fleet = StandinFleet.start(IniFile.parse("test.ini", text, findings), findings)
                .orElseThrow(() -> new AssertionError(findings.toString()));
    }

    /**
     * Starts stand-ins.
     *
     * @param ini their settings; <code>${name}</code> stands for a free port
     * @return the running stand-ins
     */
    public static StandinFixture start(String ini) {
        return new StandinFixture(ini);
    }

    /**
     * Returns a free port below those that the system gives to outgoing connections, so that none of them takes it before
     * the stand-in does.
     *
     * @return a port that nothing listens on
     */
    public static int freePort() {
        while (true) {
            int port = FIRST_PORT + Math.floorMod(NEXT_PORT.getAndIncrement(), PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Something listens on it; the next one is tried.
            }
        }
    }

    /**
     * Returns the port that a name stands for.
     *
     * @param name the name
     * @return the port
     */
    public int port(String name) {
        return ports.computeIfAbsent(name, ignored -> freePort());
    }

    /**
     * Returns the address that a name stands for.
     *
     * @param name name of a port
     * @return host and port
     */
    public String address(String name) {
        return "127.0.0.1:" + port(name);
    }

    /**
     * Returns the client for the adapters under test; faults are set over connections of another one.
     *
     * @return the started client
     */
    public HttpClient client() {
        return client;
    }

    /**
     * Stops a VM.
     *
     * @param name the VM
     */
    public void stopVm(String name) {
        fleet.stopVm(new VmId(name));
    }

    /**
     * Starts a VM again.
     *
     * @param name the VM
     */
    public void startVm(String name) {
        fleet.startVm(new VmId(name));
    }

    /**
     * Sets faults.
     *
     * @param name name of the stand-in's port
     * @param json values by name of the fault
     */
    public void faults(String name, String json) {
        post(name, "/standin/faults", json);
    }

    /**
     * Posts to a stand-in and expects success.
     *
     * @param name name of the stand-in's port
     * @param path path
     * @param json body
     */
    public void post(String name, String path, String json) {
        try {
            ContentResponse response = control.newRequest("http://" + address(name) + path)
                    .method("POST")
                    .headers(headers -> headers.put("connection", "close"))
                    .body(new BytesRequestContent("application/json", json.getBytes(StandardCharsets.UTF_8)))
                    .send();
            assertEquals(response.getStatus(), 200, response.getContentAsString());
        } catch (InterruptedException | TimeoutException | ExecutionException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Reads JSON from a stand-in; reads again where its connection is closed under the call.
     *
     * @param name name of the stand-in's port
     * @param path path and query
     * @return the JSON
     */
    public JsonNode get(String name, String path) {
        ContentResponse[] response = new ContentResponse[1];
        await("an answer to " + path, () -> {
            response[0] = tryGet(name, path);
            return response[0] != null;
        });
        assertEquals(response[0].getStatus(), 200, response[0].getContentAsString());
        try {
            return MAPPER.readTree(response[0].getContentAsString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ContentResponse tryGet(String name, String path) {
        try {
            return control.newRequest("http://" + address(name) + path)
                    .headers(headers -> headers.put("connection", "close"))
                    .send();
        } catch (ExecutionException e) {
            return null;
        } catch (InterruptedException | TimeoutException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Waits until something holds.
     *
     * @param what description for the failure
     * @param condition the condition
     */
    public static void await(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                fail("did not happen: " + what);
            }
            sleep(POLL_MILLIS);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        fleet.close();
        HttpClients.stop(client);
        HttpClients.stop(control);
    }
}
