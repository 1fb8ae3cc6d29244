package org.apricotdeal.engine;

/** Handle of a token stream in progress. */
public interface StreamHandle {
    /** Cancels the stream at the engine; its listener receives no further calls. */
    void cancel();
}
