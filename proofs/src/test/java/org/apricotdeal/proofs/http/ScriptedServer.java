package org.apricotdeal.proofs.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A server that a test scripts byte by byte, for answers that no well-behaved server gives. */
public final class ScriptedServer implements AutoCloseable {
    /** Enough for clients that connect at once: a connection beyond it hangs instead of failing. */
    private static final int ACCEPT_QUEUE = 1_024;

    private final ServerSocket socket;
    private final Script script;

    /** What the server does with one connection, which is closed afterwards. */
    public interface Script {
        /**
         * Serves a connection.
         *
         * @param connection the connection
         * @throws IOException where the client has closed it
         */
        void serve(Connection connection) throws IOException;
    }

    /**
     * One request.
     *
     * @param head its head in lower case
     * @param body its body
     */
    public record Received(String head, String body) {
        /**
         * Returns a header.
         *
         * @param name name of the header in lower case
         * @return its value, empty if there is none
         */
        public String header(String name) {
            for (String line : head.split("\r\n", -1)) {
                if (line.startsWith(name + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return "";
        }
    }

    /** One connection. */
    public static final class Connection {
        private final Socket socket;
        private final InputStream input;
        private final OutputStream output;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.input = socket.getInputStream();
            this.output = socket.getOutputStream();
        }

        /**
         * Reads a request whose body has a length, if any.
         *
         * @return the request
         * @throws IOException where the client has closed the connection
         */
        public Received read() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("closed");
                }
                head.append((char) next);
            }
            String text = head.toString().toLowerCase(Locale.ROOT);
            String length = new Received(text, "").header("content-length");
            int bodyBytes = length.isEmpty() ? 0 : Integer.parseInt(length);
            return new Received(text, new String(input.readNBytes(bodyBytes), StandardCharsets.UTF_8));
        }

        /**
         * Writes text.
         *
         * @param text the text
         * @throws IOException where the client has closed the connection
         */
        public void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        /**
         * Writes bytes.
         *
         * @param bytes the bytes
         * @throws IOException where the client has closed the connection
         */
        public void write(byte[] bytes) throws IOException {
            output.write(bytes);
            output.flush();
        }

        /**
         * Bounds what the system takes off the writer before the client has read it.
         *
         * @param bytes size of the send buffer
         * @throws IOException where the connection is closed
         */
        public void setSendBufferBytes(int bytes) throws IOException {
            socket.setSendBufferSize(bytes);
        }

        void writeByteByByte(String text) throws IOException {
            for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
                output.write(next);
                output.flush();
            }
        }
    }

    /**
     * Starts a server on loopback.
     *
     * @param script what it does with each connection
     * @throws IOException where no port is free
     */
    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.socket = new ServerSocket(0, ACCEPT_QUEUE, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::acceptAll);
    }

    /**
     * Returns where the server listens.
     *
     * @return host and port
     */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket connection = socket.accept();
                Thread.ofVirtual().start(() -> serve(connection));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            script.serve(new Connection(connection));
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
