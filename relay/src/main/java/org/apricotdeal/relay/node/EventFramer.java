package org.apricotdeal.relay.node;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries, so that only complete events are relayed and a broken stream
 * can resume after the last of them. Only the ids of the events are parsed.
 */
final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;
    private String lastId;

    /**
     * Adds bytes of the stream.
     *
     * @param bytes next bytes of the stream; consumed
     * @return the unchanged bytes of all events that are complete now; an empty buffer if there are none
     */
    ByteBuffer feed(ByteBuffer bytes) {
        int completeBytes = 0;
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            pending.write(next);
            if (next == '\n') {
                if (lineEmpty) {
                    completeBytes = pending.size();
                }
                lineEmpty = true;
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
        return completeBytes == 0 ? ByteBuffer.allocate(0) : takeCompleteEvents(completeBytes);
    }

    private ByteBuffer takeCompleteEvents(int completeBytes) {
        byte[] all = pending.toByteArray();
        pending.reset();
        pending.write(all, completeBytes, all.length - completeBytes);
        updateLastId(new String(all, 0, completeBytes, StandardCharsets.UTF_8));
        return ByteBuffer.wrap(all, 0, completeBytes);
    }

    private void updateLastId(String events) {
        int firstLineStart = events.startsWith(ID_FIELD) ? 0 : -1;
        int laterLineStart = events.lastIndexOf("\n" + ID_FIELD);
        int start = laterLineStart >= 0 ? laterLineStart + 1 : firstLineStart;
        if (start < 0) {
            return;
        }
        int end = events.indexOf('\n', start);
        lastId = events.substring(start + ID_FIELD.length(), end < 0 ? events.length() : end)
                .trim();
    }

    /**
     * Returns the id of the last complete event that has one.
     *
     * @return the id; empty if no event had one
     */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /** Returns the number of buffered bytes of the incomplete event. */
    int pendingBytes() {
        return pending.size();
    }

    /**
     * Returns whether an incomplete event is buffered.
     *
     * @return true if bytes of an incomplete event are left over
     */
    boolean hasPartialEvent() {
        return pending.size() > 0;
    }
}
