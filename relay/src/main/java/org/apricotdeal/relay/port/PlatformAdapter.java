package org.apricotdeal.relay.port;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RequestSize;
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
     * Parses the header that lists the parts of a prompt.
     *
     * @param header value of the header {@link ExchangeHeaders#promptParts}
     * @return the parts that other requests may have in common; without the last one, which belongs to the request itself
     * or to its session, and empty if the header is invalid
     */
    List<PromptPartId> sharedPromptParts(String header);

    /**
     * Parses the header in which a VM reports its load.
     *
     * @param header value of the header {@link ExchangeHeaders#load}
     * @return number of requests of all nodes that run and wait at the VM; empty if the header is invalid
     */
    OptionalInt requestsAtVm(String header);

    /**
     * Parses the headers that state the size of a generation.
     *
     * @param tokenCounts value of the header {@link ExchangeHeaders#tokenCounts}; null if it is missing
     * @param answerTokensHint value of the header {@link ExchangeHeaders#answerTokensHint}; null if it is missing
     * @return the stated size, without an invalid hint; empty if the counts are missing or invalid
     */
    Optional<RequestSize> requestSize(String tokenCounts, String answerTokensHint);

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
