import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** The parts of HTTP/1.1 that the stand-ins need, on plain sockets. */
final class Http {
    private static final Set<Integer> given = new HashSet<>();

    private Http() {}

    /** The first line, the headers and the body of a request or a response. */
    record Message(String start, List<String[]> headers, byte[] body, boolean complete) {
        String header(String name) {
            for (String[] header : headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }
    }

    static ServerSocket listen() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        return server;
    }

    static String address(ServerSocket server) {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns a free port below those that the system gives to outgoing connections; each port once. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
            if (!given.add(port)) {
                continue;
            }
            try (ServerSocket probe = new ServerSocket()) {
                probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                return port;
            } catch (BindException e) {
                // Another process uses the port.
            }
        }
    }

    static InputStream buffered(Socket socket) throws IOException {
        return new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(next);
        }
    }

    /** Reads the start line and the headers; null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        List<String[]> headers = new ArrayList<>();
        for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            headers.add(new String[] {text.substring(0, colon).trim(), text.substring(colon + 1).trim()});
        }
        return new Message(start, headers, new byte[0], false);
    }

    /** Reads a message with its body; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message head = head(in);
        return head == null ? null : body(in, head);
    }

    static Message body(InputStream in, Message head) throws IOException {
        String encoding = head.header("Transfer-Encoding");
        String length = head.header("Content-Length");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = true;
        if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
            complete = false;
            try {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        break;
                    }
                    int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (count == 0) {
                        while (true) {
                            String trailer = line(in);
                            if (trailer == null || trailer.isEmpty()) {
                                complete = trailer != null;
                                break;
                            }
                        }
                        break;
                    }
                    byte[] chunk = in.readNBytes(count);
                    body.writeBytes(chunk);
                    if (chunk.length < count) {
                        break;
                    }
                    line(in);
                }
            } catch (IOException e) {
                complete = false;
            }
        } else if (length != null) {
            int count = Integer.parseInt(length);
            byte[] buffer = new byte[64 * 1024];
            try {
                while (body.size() < count) {
                    int read = in.read(buffer, 0, Math.min(buffer.length, count - body.size()));
                    if (read < 0) {
                        break;
                    }
                    body.write(buffer, 0, read);
                }
            } catch (IOException e) {
                complete = false;
            }
            complete = body.size() == count;
        }
        return new Message(head.start(), head.headers(), body.toByteArray(), complete);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
