package org.apricotdeal.proofs.process;

import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Guards against a request that a VM has received losing its connection to others, while a crowd opens connections, uploads
 * stall, answers are not read, and large catalogues follow each other within a second.
 */
public final class GivingWayBesideCatalogueTest {
    private static final int RUN_MILLIS = 12_000;
    private static final int CATALOGUE_GAP_MILLIS = 400;
    private static final int LARGE_KEYS = 30_000;
    private static final int KEEPERS = 40;
    private static final int PASSERS = 130;
    private static final int MAX_STAY_MILLIS = 400;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int MAX_GAP_MILLIS = 20;
    private static final String STALLING =
            HostileFleet.head("/book/x", "") + "Content-Length: " + HostileFleet.BODY_BYTES + "\r\n\r\n";
    private static final String UNREAD = HostileFleet.head("/load/x", "") + "Content-Length: 0\r\n\r\n";

    private final Queue<String> cut = new ConcurrentLinkedQueue<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private HostileFleet fleet;
    private volatile boolean stopped;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new HostileFleet();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        stopped = true;
        fleet.close();
    }

    @Test
    public void requestAtVmKeepsItsConnection() throws Exception {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < KEEPERS; i++) {
            String name = "k" + i + "-";
            clients.add(Thread.ofVirtual().start(() -> keep(name)));
        }
        for (int i = 0; i < PASSERS; i++) {
            clients.add(Thread.ofVirtual().start(this::pass));
        }
        fleet.trickle(10, STALLING, "a", 1, 0);
        fleet.trickle(5, UNREAD, "", 1, 0);
        for (int i = 0; i < RUN_MILLIS / CATALOGUE_GAP_MILLIS; i++) {
            fleet.configure(2 + i, LARGE_KEYS);
            Thread.sleep(CATALOGUE_GAP_MILLIS);
        }
        stopped = true;
        for (Thread client : clients) {
            client.join();
        }
        List<String> lost = cut.stream().filter(fleet::isReceived).toList();
        System.out.println("answered " + answered + ", late " + late + ", cut " + cut.size() + ", lost " + lost.size()
                + ", connections that gave way " + fleet.metric("callers_curbed_connections"));
        assertTrue(fleet.metric("callers_curbed_connections") > 0);
        assertTrue(answered.get() > KEEPERS);
        assertTrue(lost.isEmpty(), "without an answer though a VM received them: " + lost + "\n" + fleet.log());
    }

    /** Sends one request after another on connections that are kept. */
    private void keep(String name) {
        int number = 0;
        while (!stopped) {
            try (Socket socket = fleet.connect(0)) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                boolean kept = true;
                while (kept && !stopped) {
                    Thread.sleep(ThreadLocalRandom.current().nextInt(MAX_GAP_MILLIS));
                    kept = exchange(socket, name + ++number);
                }
            } catch (IOException e) {
                // The node accepts no more connections for now.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Sends a request and reads its answer or refusal; returns whether the connection can be used again. */
    private boolean exchange(Socket socket, String id) throws IOException {
        String request = HostileFleet.head("/size/x", id) + "Content-Length: 8\r\n\r\nquestion";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        StringBuilder answer = new StringBuilder();
        byte[] part = new byte[1_024];
        try {
            while (answer.indexOf("0 lines, 8 bytes") < 0) {
                int count = socket.getInputStream().read(part);
                if (count < 0) {
                    throw new EOFException("the answer is cut");
                }
                answer.append(new String(part, 0, count, StandardCharsets.US_ASCII));
                if (answer.indexOf("HTTP/1.1 503") == 0 && answer.indexOf("}") > 0) {
                    return false;
                }
            }
        } catch (SocketTimeoutException e) {
            late.incrementAndGet();
            return false;
        } catch (IOException e) {
            cut.add(id);
            return false;
        }
        answered.incrementAndGet();
        return true;
    }

    /** Opens a connection for a while, again and again. */
    private void pass() {
        while (!stopped) {
            try (Socket _ = fleet.connect(0)) {
                Thread.sleep(ThreadLocalRandom.current().nextInt(MAX_STAY_MILLIS));
            } catch (IOException e) {
                // The node accepts no more connections for now.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
