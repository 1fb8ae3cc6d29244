package org.apricotdeal.relay.port;

import org.eclipse.jetty.client.HttpClient;

/** Adapter for a platform, loaded by {@link java.util.ServiceLoader} and selected by name in the settings. */
public interface PlatformAdapter {
    /**
     * Returns the name that selects this adapter in the settings.
     *
     * @return the name, unique among the adapters
     */
    String name();

    /**
     * Returns the headers that the platform uses in requests and responses.
     *
     * @return the header names
     */
    ExchangeHeaders headers();

    /**
     * Returns the codec for the records in the platform's store.
     *
     * @return the codec
     */
    RecordCodec codec();

    /**
     * Creates a client of the platform's store.
     *
     * @param client started HTTP client
     * @param address host and port of the store
     * @param timeoutMillis timeout of calls other than watches
     * @return the store
     */
    WatchStore store(HttpClient client, String address, long timeoutMillis);

    /**
     * Creates the interface for orders to VMs and for their reports.
     *
     * @param client started HTTP client
     * @return the interface to the VMs
     */
    VmClient vmClient(HttpClient client);
}
