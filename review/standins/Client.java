import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** Stand-in of a client: one connection, on which it sends one request at a time. */
final class Client implements AutoCloseable {
    /** What a client saw of a request; the status is 0 if there was no answer. */
    record Seen(String id, int status, boolean complete, byte[] body, long sentMillis, long endMillis, String error) {
        long tookMillis() {
            return endMillis - sentMillis;
        }

        @Override
        public String toString() {
            return "request " + id + ": status " + status + ", " + (complete ? "whole" : "not whole") + ", " + body.length
                    + " bytes, " + tookMillis() + " ms" + (error.isEmpty() ? "" : ", " + error);
        }
    }

    private final Socket socket = new Socket();
    private volatile long retryAfterMillis;
    private static final int PART_BYTES = 16 * 1024;

    private final InputStream in;
    private int uploadBytesPerSecond;

    Client(int port) throws IOException {
        this(port, 0);
    }

    /** Opens a connection with a small receive buffer, as on a slow link; 0 leaves the buffer as it is. */
    Client(int port, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1_000);
        in = receiveBufferBytes > 0 ? socket.getInputStream() : Http.buffered(socket);
    }

    /** Returns when the last answer told the client to come back; 0 if it did not. */
    long retryAfterMillis() {
        return retryAfterMillis;
    }

    Socket socket() {
        return socket;
    }

    InputStream input() {
        return in;
    }

    void send(String method, String path, String id, int deadlineMillis, byte[] body) throws IOException {
        String length = body.length > 0 || !method.equals("GET") ? "Content-Length: " + body.length + "\r\n" : "";
        socket.getOutputStream()
                .write(Http.bytes(method + " " + path + " HTTP/1.1\r\nHost: office.example\r\nX-Attempt-Id: " + id
                        + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer key-one\r\n" + length
                        + "\r\n"));
        writeBody(body);
        socket.getOutputStream().flush();
    }

    /** Sends bodies at a given rate from now on, as on a slow link; 0: as fast as possible. */
    void setUploadRate(int bytesPerSecond) {
        uploadBytesPerSecond = bytesPerSecond;
    }

    private void writeBody(byte[] body) throws IOException {
        if (uploadBytesPerSecond == 0) {
            socket.getOutputStream().write(body);
            return;
        }
        long startMillis = Case.millis();
        for (int sent = 0; sent < body.length; sent += PART_BYTES) {
            Case.sleep(Math.max(0, startMillis + sent * 1_000L / uploadBytesPerSecond - Case.millis()));
            socket.getOutputStream().write(body, sent, Math.min(PART_BYTES, body.length - sent));
        }
    }

    /** Sends a request and waits for its answer, at most for the given time. */
    Seen call(String method, String path, String id, int deadlineMillis, byte[] body, int waitMillis) {
        long sentMillis = Case.millis();
        try {
            send(method, path, id, deadlineMillis, body);
            sentMillis = Case.millis();
            socket.setSoTimeout(waitMillis);
            Http.Message answer = Http.read(in);
            long endMillis = Case.millis();
            String retryAfter = answer == null ? null : answer.header("Retry-After");
            retryAfterMillis = retryAfter == null ? 0 : Math.round(1_000 * Double.parseDouble(retryAfter));
            return answer == null
                    ? new Seen(id, 0, false, new byte[0], sentMillis, endMillis, "the connection was closed")
                    : new Seen(id, answer.status(), answer.complete(), answer.body(), sentMillis, endMillis, "");
        } catch (SocketTimeoutException e) {
            return new Seen(id, 0, false, new byte[0], sentMillis, Case.millis(), "no answer");
        } catch (IOException e) {
            return new Seen(id, 0, false, new byte[0], sentMillis, Case.millis(), e.toString());
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
