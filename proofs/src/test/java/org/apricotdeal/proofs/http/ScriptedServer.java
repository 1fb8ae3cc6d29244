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
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket socket;
    private final Script script;

    /** What the server does with one connection, which is closed afterwards. */
    interface Script {
        void serve(Connection connection) throws IOException;
    }

    /** One request: its head with header names in lower case, and its body. */
    record Received(String head, String body) {}

    /** One connection. */
    static final class Connection {
        private final InputStream input;
        private final OutputStream output;

        private Connection(Socket socket) throws IOException {
            this.input = socket.getInputStream();
            this.output = socket.getOutputStream();
        }

        Received read() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("closed");
                }
                head.append((char) next);
            }
            String text = head.toString().toLowerCase(Locale.ROOT);
            int bodyBytes = 0;
            for (String line : text.split("\r\n", -1)) {
                if (line.startsWith("content-length:")) {
                    bodyBytes = Integer.parseInt(
                            line.substring("content-length:".length()).trim());
                }
            }
            return new Received(text, new String(input.readNBytes(bodyBytes), StandardCharsets.UTF_8));
        }

        void write(String text) throws IOException {
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
        }

        void writeByteByByte(String text) throws IOException {
            for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
                output.write(next);
                output.flush();
            }
        }
    }

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.socket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::acceptAll);
    }

    String address() {
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
