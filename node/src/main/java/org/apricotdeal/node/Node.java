package org.apricotdeal.node;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;

import org.apricotdeal.http.HttpClients;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.node.kernel.InProgress;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.settings.NodeSettings;
import org.eclipse.jetty.client.HttpClient;

/**
 * A running node. Its life: plug-ins register, then start; the ports open; at a graceful stop the node reports not ready,
 * waits for the balancer to notice, serves to the end what is in progress, and closes.
 */
public final class Node {
    private static final long DRAIN_POLL_MILLIS = 20;

    private final NodeKernel kernel;
    private final HttpClient client;
    private final NodeServer server;
    private final InProgress inProgress = new InProgress();

    /**
     * Creates a node.
     *
     * @param settings checked settings
     */
    public Node(NodeSettings settings) {
        client = HttpClients.start("client", settings.platform().callTimeoutMillis());
        kernel = new NodeKernel(settings, client);
        kernel.offer(InProgress.class, inProgress);
        List<NodePlugin> plugins = new ArrayList<>();
        ServiceLoader.load(NodePlugin.class).forEach(plugins::add);
        plugins.forEach(plugin -> plugin.register(kernel));
        plugins.forEach(plugin -> plugin.start(kernel));
        kernel.pluginsStarted();
        server = new NodeServer(kernel);
    }

    /**
     * Opens the ports.
     *
     * @throws Exception where a port cannot be opened
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
     * @return the port that is listened on
     */
    public int callerPort() {
        return server.callerPort();
    }

    /**
     * Returns the port for peers and operators.
     *
     * @return the port that is listened on
     */
    public int peerPort() {
        return server.peerPort();
    }

    /**
     * Returns the kernel, for tests.
     *
     * @return the kernel
     */
    public NodeKernel kernel() {
        return kernel;
    }

    /**
     * Stops gracefully: reports not ready, keeps serving for the balancer's delay, serves to the end what is in progress,
     * then closes.
     *
     * @return number of requests that were still in progress when the longest time to wait was over, and were cut off
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
        int cutOff = inProgress.count();
        kernel.timeline().record(Message.NODE_STOPPED, kernel.settings().node().id(), cutOff);
        close();
        return cutOff;
    }

    /** Closes at once. */
    public void close() {
        try {
            server.stop();
            kernel.closeDuties();
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("node cannot stop", e);
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
