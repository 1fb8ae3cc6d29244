package org.apricotdeal.standins.server;

import java.io.IOException;

/** Handles the requests that a stand-in receives. */
public interface StandinHandler {
    /**
     * Handles a request; it is answered, streamed to, cut off or left silent now or later.
     *
     * @param exchange the request and its answer
     * @throws IOException where the request could not be read
     */
    void handle(Exchange exchange) throws IOException;
}
