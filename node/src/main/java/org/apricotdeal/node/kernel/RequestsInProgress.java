package org.apricotdeal.node.kernel;

/** Counts a node's requests, queued or in progress, and rejects new ones during a graceful stop. */
public final class RequestsInProgress {
    private int count;
    private boolean closed;

    /**
     * Admits and counts a request.
     *
     * @return false if the node no longer accepts new requests
     */
    public synchronized boolean tryAdmit() {
        if (closed) {
            return false;
        }
        count++;
        return true;
    }

    /** Removes a finished request from the count. */
    public synchronized void release() {
        count--;
    }

    /** Rejects all further requests. */
    public synchronized void refuseNew() {
        closed = true;
    }

    /**
     * Returns the number of admitted requests that have not finished.
     *
     * @return number of requests, queued or in progress
     */
    public synchronized int count() {
        return count;
    }
}
