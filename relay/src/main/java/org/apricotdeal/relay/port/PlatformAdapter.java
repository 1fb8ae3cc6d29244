package org.apricotdeal.relay.port;

import org.eclipse.jetty.client.HttpClient;

/** An adapter to a platform, found by {@link java.util.ServiceLoader} and chosen by name in the settings. */
public interface PlatformAdapter {
    /**
     * Returns the name that settings choose the adapter by.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the names of the headers of exchanges.
     *
     * @return the names
     */
    ExchangeHeaders headers();

    /**
     * Returns the reader of records in the store.
     *
     * @return the codec
     */
    RecordCodec codec();

    /**
     * Connects to the store.
     *
     * @param client started client
     * @param address host and port of the store
     * @param timeoutMillis longest time for a call that does not wait for changes
     * @return the store
     */
    WatchStore store(HttpClient client, String address, long timeoutMillis);

    /**
     * Creates the calls to VMs.
     *
     * @param client started client
     * @return the calls
     */
    ReplicaOrders orders(HttpClient client);
}
