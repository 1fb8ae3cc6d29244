package org.apricotdeal.http;

import org.eclipse.jetty.client.Request;

/**
 * Tells whether a byte of a request may have left. Jetty calls the listener once a connection is found and before the first
 * byte is written, and never sends a request again that got that far; a request that fails before was certainly not sent.
 */
final class SendMarker {
    private volatile boolean begun;

    private SendMarker() {}

    static SendMarker on(Request request) {
        SendMarker marker = new SendMarker();
        request.onRequestBegin(ignored -> marker.begun = true);
        return marker;
    }

    boolean mayHaveLeft() {
        return begun;
    }
}
