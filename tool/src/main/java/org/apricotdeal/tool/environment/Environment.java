package org.apricotdeal.tool.environment;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.KeyValueStore;

/** What commands reach outside the process. */
public interface Environment {
    /**
     * Returns the key-value service at an address.
     *
     * @param address host and port
     * @return the service
     */
    KeyValueStore store(String address);

    /**
     * Asks a node.
     *
     * @param address host and port for operators
     * @param path path and query, such as {@code /admin/status}
     * @return the node's answer, or why there is none
     */
    Result<JsonNode, String> askNode(String address, String path);

    /**
     * Returns the clock.
     *
     * @return the clock
     */
    Clock clock();

    /**
     * Creates an id for a change.
     *
     * @return an id that no other change has
     */
    String newChangeId();
}
