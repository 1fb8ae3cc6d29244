package org.apricotdeal.standins.server;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** One request to a stand-in and its answer. It has no timeout of its own, so that it can wait as long as asked. */
public final class Exchange {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Request request;
    private final Response response;
    private final Callback callback;

    Exchange(Request request, Response response, Callback callback) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        request.addIdleTimeoutListener(ignored -> false);
    }

    /**
     * Returns the method.
     *
     * @return the HTTP method, such as {@code GET}
     */
    public String method() {
        return request.getMethod();
    }

    /**
     * Returns the path.
     *
     * @return the path without its query
     */
    public String path() {
        return request.getHttpURI().getPath();
    }

    /**
     * Returns the path split at its slashes.
     *
     * @return the segments, without the empty one before the first slash
     */
    public List<String> segments() {
        return List.of(path().substring(1).split("/", -1));
    }

    /**
     * Returns a whole number of the query.
     *
     * @param name name of the parameter
     * @param fallback value where it is absent
     * @return the value
     */
    public long queryNumber(String name, long fallback) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        return value == null ? fallback : Long.parseLong(value);
    }

    /**
     * Returns a header.
     *
     * @param name name of the header
     * @return its value, empty where it is absent
     */
    public String header(String name) {
        String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    /**
     * Reads the body; blocks until it has arrived.
     *
     * @return the whole body
     * @throws IOException where it can't be read
     */
    public byte[] body() throws IOException {
        ByteBuffer buffer = Content.Source.asByteBuffer(request);
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    /**
     * Reads the body as JSON; blocks until it has arrived.
     *
     * @return the JSON, an empty object where there is no body
     * @throws IOException where it can't be read or is no JSON
     */
    public JsonNode json() throws IOException {
        byte[] bytes = body();
        return bytes.length == 0 ? JsonNodeFactory.instance.objectNode() : MAPPER.readTree(bytes);
    }

    /**
     * Returns the port that the request came to.
     *
     * @return the port
     */
    public int localPort() {
        return Request.getLocalPort(request);
    }

    /**
     * Tells when the connection was opened.
     *
     * @return milliseconds since 1970-01-01 UTC
     */
    public long connectionOpenedAtMillis() {
        return request.getConnectionMetaData().getConnection().getCreatedTimeStamp();
    }

    /**
     * Answers.
     *
     * @param status HTTP status
     * @param json the body
     */
    public void reply(int status, JsonNode json) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(json.toString().getBytes(StandardCharsets.UTF_8)), callback);
    }

    /**
     * Refuses with a detail.
     *
     * @param status HTTP status
     * @param detail the reason
     */
    public void refuse(int status, String detail) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        reply(status, json.put("detail", detail));
    }

    /**
     * Starts an answer that is sent piece by piece.
     *
     * @param contentType type of the content
     * @return takes the pieces
     */
    public StreamWriter startStream(String contentType) {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        return new StreamWriter(this, response, callback);
    }

    /** Closes the connection without an answer, or in the midst of it. */
    public void cutOff() {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(new EofException("the connection was cut off"));
    }

    /** Leaves the request without an answer and its connection open for good. */
    public void leaveSilent() {
        request.getConnectionMetaData().getConnection().getEndPoint().setIdleTimeout(0);
    }
}
