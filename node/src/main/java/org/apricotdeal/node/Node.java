package org.apricotdeal.node;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;

import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.kernel.RequestsInProgress;
import org.apricotdeal.node.settings.NodeSettings;
import org.eclipse.jetty.client.HttpClient;

/**
 * A node. At construction its plug-ins register and then start; {@link #start()} opens the ports. During a graceful stop
 * the node reports that it is not ready, waits until the load balancer has had time to notice, completes the requests in
 * progress, and closes.
 */
public final class Node {
    private static final long DRAIN_POLL_MILLIS = 20;

    private final NodeKernel kernel;
    private final HttpClient client;
    private final NodeServer server;
    private final RequestsInProgress inProgress = new RequestsInProgress();

    /**
     * Creates a node and starts its plug-ins.
     *
     * @param settings validated settings
     */
    public Node(NodeSettings settings) {
        client = HttpClients.start("client", settings.platform().callTimeoutMillis());
        kernel = new NodeKernel(settings, client);
        kernel.offer(RequestsInProgress.class, inProgress);
        List<NodePlugin> plugins = new ArrayList<>();
        ServiceLoader.load(NodePlugin.class).forEach(plugins::add);
        plugins.forEach(plugin -> plugin.register(kernel));
        plugins.forEach(plugin -> plugin.start(kernel));
        kernel.deliverBufferedEvents();
        server = new NodeServer(kernel);
    }

    /**
     * Opens the ports.
     *
     * @throws Exception if a port cannot be opened
     */
    public void start() throws Exception {
        long startedNanos = System.nanoTime();
        server.start();
        long tookMillis = (System.nanoTime() - startedNanos) / 1_000_000;
        kernel.timeline().record(Message.NODE_STARTED, kernel.settings().node().id(), server.callerPort(), tookMillis);
    }

    /**
     * Returns the port for callers.
     *
     * @return the local port number
     */
    public int callerPort() {
        return server.callerPort();
    }

    /**
     * Returns the port for peers and operators.
     *
     * @return the local port number
     */
    public int peerPort() {
        return server.peerPort();
    }

    /**
     * Returns the kernel, for tests.
     *
     * @return the node's kernel
     */
    public NodeKernel kernel() {
        return kernel;
    }

    /**
     * Stops gracefully: reports that the node is not ready, continues to serve for the drain delay, rejects new requests,
     * waits until the requests in progress are finished or the drain timeout has passed, and closes.
     *
     * @return number of requests that were still in progress at the drain timeout and were aborted
     */
    public int stopGracefully() {
        NodeSettings.Timing timing = kernel.settings().timing();
        kernel.drain();
        kernel.timeline().record(Message.NODE_STOPPING, kernel.settings().node().id(), inProgress.count());
        sleep(timing.drainDelayMillis());
        inProgress.refuseNew();
        long deadlineMillis = kernel.clock().monotonicMillis() + timing.drainTimeoutMillis();
        while (inProgress.count() > 0 && kernel.clock().monotonicMillis() < deadlineMillis) {
            sleep(DRAIN_POLL_MILLIS);
        }
        int abortedRequests = inProgress.count();
        kernel.timeline().record(Message.NODE_STOPPED, kernel.settings().node().id(), abortedRequests);
        close();
        return abortedRequests;
    }

    /** Closes the node without waiting for the requests in progress. */
    public void close() {
        try {
            server.stop();
            kernel.closeDuties();
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("cannot stop the node", e);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
