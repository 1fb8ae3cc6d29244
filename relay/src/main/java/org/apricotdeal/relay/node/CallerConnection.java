package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.channels.SocketChannel;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * A caller's connection, which limits the memory of the heads of requests over all connections as their lines arrive. Each
 * line takes memory of its own, so that many short ones take far more than their bytes.
 */
final class CallerConnection extends HttpConnection implements StalledHolder {
    /** Memory of a parsed header line beside its characters. */
    private static final int LINE_BYTES = 256;

    /** Memory of the head of an ordinary request, which is not limited further. */
    private static final int ORDINARY_BYTES = 32 * 1024;

    private final CallerResources resources;
    private volatile long beganMillis;
    private volatile boolean headArriving;
    private volatile boolean reading;
    private volatile StalledHolder holder;
    private boolean gaveWay;
    private int headBytes;
    private int reservedBytes;

    CallerConnection(
            HttpConfiguration configuration, Connector connector, EndPoint endPoint, CallerResources resources) {
        super(configuration, connector, endPoint);
        this.resources = resources;
        this.beganMillis = resources.nowMillis();
    }

    @Override
    protected RequestHandler newRequestHandler() {
        return new HeadReader();
    }

    @Override
    public void onOpen() {
        resources.opened(this);
        super.onOpen();
    }

    @Override
    public void onFillable() {
        reading = true;
        try {
            super.onFillable();
        } finally {
            reading = false;
        }
    }

    @Override
    public void onClose(Throwable cause) {
        resources.closed(this);
        releaseHead();
        super.onClose(cause);
    }

    /**
     * Begins to handle a request, whose memory of the head is released when it has been answered.
     *
     * @param request request whose head has been read
     * @return false if the connection has given way to others and is closed
     */
    boolean begin(Request request) {
        boolean headHeld;
        synchronized (this) {
            if (gaveWay) {
                return false;
            }
            headHeld = reservedBytes > 0;
        }
        if (headHeld) {
            Request.addCompletionListener(request, failure -> releaseHead());
        }
        return true;
    }

    /**
     * Takes the connection from its caller unless a request is handled: the parser leaves the head before
     * {@link #begin} is called, so one of the two sees the other.
     */
    private synchronized boolean takeIdle() {
        if (!isWithoutRequest()) {
            return false;
        }
        gaveWay = true;
        return true;
    }

    private synchronized void addToHead(int bytes) {
        headBytes += bytes;
        if (headBytes <= ORDINARY_BYTES) {
            return;
        }
        int needed = headBytes - reservedBytes;
        if (!resources.heads().tryReserve(needed)) {
            resources.record("head");
            throw new HttpException.RuntimeException(
                    HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, "no memory for a large head");
        }
        reservedBytes = headBytes;
    }

    private synchronized void releaseHead() {
        resources.heads().release(reservedBytes);
        reservedBytes = 0;
        headBytes = 0;
    }

    /** Sets what the request holds that is read, or the response that is written; null while neither depends on the caller. */
    void setHolder(StalledHolder newHolder) {
        holder = newHolder;
    }

    boolean isWithoutRequest() {
        return getParser().inHeaderState();
    }

    /**
     * Returns the time of the last beginning of a request, or of the connection; while a body is read or a response is
     * written, that of its last progress; the future while the node handles a request.
     */
    @Override
    public long progressMillis() {
        if (isWithoutRequest()) {
            return beganMillis;
        }
        StalledHolder current = holder;
        return current == null ? Long.MAX_VALUE : current.progressMillis();
    }

    @Override
    public boolean giveWay() {
        if (takeIdle()) {
            resources.record("connections");
            getEndPoint().close();
            return true;
        }
        StalledHolder current = holder;
        if (current == null || !current.giveWay()) {
            return false;
        }
        resources.record("connections");
        return true;
    }

    /** Returns whether a request may be arriving: bytes wait to be read, or have been read and are not parsed yet. */
    boolean isReceiving() {
        return isWithoutRequest() && (hasUnreadInput() || reading);
    }

    /** Returns whether bytes have arrived that the node has not read: on a busy node, a request may wait for its turn. */
    private boolean hasUnreadInput() {
        if (!(getEndPoint().getTransport() instanceof SocketChannel channel)) {
            return false;
        }
        try {
            return channel.socket().getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether a part of a head has arrived; Jetty also announces a head of which there is no byte yet. */
    boolean isHeadOverdue(long beforeMillis) {
        return headArriving && !getParser().isStart() && beganMillis < beforeMillis;
    }

    void closeOverdueHead() {
        headArriving = false;
        if (!takeIdle()) {
            return;
        }
        resources.record("head.time");
        if (getEndPoint() instanceof WatchedEndPoint caller) {
            caller.closeWith(HttpStatus.REQUEST_TIMEOUT_408, "");
        }
    }

    /** Counts the lines of a head. */
    private final class HeadReader extends RequestHandler {
        @Override
        public void messageBegin() {
            releaseHead();
            beganMillis = resources.nowMillis();
            headArriving = true;
            holder = null;
            super.messageBegin();
        }

        @Override
        public void startRequest(String method, String uri, HttpVersion version) {
            addToHead(uri.length());
            super.startRequest(method, uri, version);
        }

        @Override
        public void parsedHeader(HttpField field) {
            String value = field.getValue();
            addToHead(LINE_BYTES + field.getName().length() + (value == null ? 0 : value.length()));
            super.parsedHeader(field);
        }

        @Override
        public boolean headerComplete() {
            headArriving = false;
            return super.headerComplete();
        }

        @Override
        public void parsedTrailer(HttpField field) {
            addToHead(LINE_BYTES + field.getName().length());
            super.parsedTrailer(field);
        }
    }
}
