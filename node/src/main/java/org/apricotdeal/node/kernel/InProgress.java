package org.apricotdeal.node.kernel;

/** Counts the requests that a node holds, waiting or in progress, and closes the door at a graceful stop. */
public final class InProgress {
    private int count;
    private boolean refusing;

    /**
     * Admits a request.
     *
     * @return false where the node no longer takes new requests
     */
    public synchronized boolean enter() {
        if (refusing) {
            return false;
        }
        count++;
        return true;
    }

    /** Takes note that a request is finished. */
    public synchronized void leave() {
        count--;
    }

    /** Refuses all further requests. */
    public synchronized void refuseNew() {
        refusing = true;
    }

    /**
     * Returns how many requests are held.
     *
     * @return number of requests
     */
    public synchronized int count() {
        return count;
    }
}
