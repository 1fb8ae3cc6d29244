package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.misc.HostPort;
import org.apricotdeal.kernel.time.Clock;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Fetches a newer catalogue from a peer if the store has not supplied it in time, and serves this node's own to peers.
 *
 * <p>Load pattern: catalogues in quick succession at nodes with little processor time and a slow link, while the store is
 * silent to some of them. Heartbeats say only the version, so they stay small and in time; the catalogue is fetched by the
 * node that lacks it, one at a time, whoever tells it of newer ones.
 */
final class CataloguePull extends Handler.Abstract.NonBlocking {
    /** Path of the catalogue in force on the port for peers. */
    static final String PATH = "/catalogue";

    /** Nodes normally read a new catalogue from the store within this time; only then do they ask a peer. */
    private static final long MAX_LAG_MILLIS = 500;

    /** Much longer than a heartbeat may take: a large catalogue takes a slow node a second. */
    private static final long TIMEOUT_MILLIS = 2_500;

    /** Large enough for a catalogue with thousands of routes. */
    private static final int MAX_CATALOGUE_BYTES = 16 * 1024 * 1024;

    private final HttpClient client;
    private final CatalogueHolder catalogues;
    private final BooleanSupplier storeFailing;
    private final Clock clock;
    private final MetricRegistry metrics;
    private long awaitedVersion;
    private long awaitedSinceMillis;
    private boolean fetching;

    /**
     * Creates the exchange of catalogues.
     *
     * @param client client for calls to peers
     * @param catalogues holds the catalogue in force
     * @param storeFailing whether this node cannot read catalogues from the store
     * @param clock clock
     * @param metrics receives the bytes sent and the number of failed fetches
     */
    CataloguePull(
            HttpClient client,
            CatalogueHolder catalogues,
            BooleanSupplier storeFailing,
            Clock clock,
            MetricRegistry metrics) {
        this.client = client;
        this.catalogues = catalogues;
        this.storeFailing = storeFailing;
        this.clock = clock;
        this.metrics = metrics;
    }

    /** Handles the version of a peer's catalogue. */
    void heard(Peer peer, long version) {
        if (mayFetch(version)) {
            fetch(peer);
        }
    }

    private synchronized boolean mayFetch(long version) {
        long ownVersion = catalogues.version();
        if (version <= ownVersion) {
            return false;
        }
        if (awaitedVersion <= ownVersion) {
            awaitedVersion = version;
            awaitedSinceMillis = clock.monotonicMillis();
        }
        boolean late = clock.monotonicMillis() - awaitedSinceMillis >= MAX_LAG_MILLIS;
        if (fetching || !(late || storeFailing.getAsBoolean())) {
            return false;
        }
        fetching = true;
        return true;
    }

    private void fetch(Peer peer) {
        HostPort address = HostPort.parse(peer.address());
        Request request = client.newRequest(address.host(), address.port())
                .method(HttpMethod.GET)
                .path(PATH)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        var unused = new CompletableResponseListener(request, MAX_CATALOGUE_BYTES)
                .send()
                .whenComplete((response, failure) -> {
                    if (failure == null && response.getStatus() == HttpStatus.OK_200) {
                        offer(response, peer);
                    } else {
                        metrics.counter("catalogues.not.fetched").inc();
                    }
                    endFetch();
                });
    }

    private void offer(ContentResponse response, Peer peer) {
        byte[] content = response.getContent();
        if (content != null && content.length > 0) {
            catalogues.offer(content, peer.name());
        }
    }

    private synchronized void endFetch() {
        fetching = false;
    }

    @Override
    public boolean handle(org.eclipse.jetty.server.Request request, Response response, Callback callback) {
        ByteBuffer catalogue = catalogues.bytes();
        if (!catalogue.hasRemaining()) {
            response.setStatus(HttpStatus.NOT_FOUND_404);
            response.write(true, null, callback);
            return true;
        }
        metrics.counter("catalogues.sent.bytes").inc(catalogue.remaining());
        response.setStatus(HttpStatus.OK_200);
        response.write(true, catalogue, callback);
        return true;
    }
}
