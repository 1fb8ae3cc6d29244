package org.apricotdeal.relay.node;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts the bytes of an event stream at the ends of events, so that only whole events are passed on and a stream that broke
 * off can go on after the last of them. The events themselves are passed on unread but for their ids.
 */
final class EventFramer {
    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean lineEmpty = true;
    private String lastId;

    /**
     * Takes bytes.
     *
     * @param bytes bytes of the stream, consumed
     * @return all events that are whole now, as they came; an empty buffer where there are none
     */
    ByteBuffer feed(ByteBuffer bytes) {
        int wholeBytes = 0;
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            pending.write(next);
            if (next == '\n') {
                if (lineEmpty) {
                    wholeBytes = pending.size();
                }
                lineEmpty = true;
            } else if (next != '\r') {
                lineEmpty = false;
            }
        }
        return wholeBytes == 0 ? ByteBuffer.allocate(0) : take(wholeBytes);
    }

    private ByteBuffer take(int wholeBytes) {
        byte[] all = pending.toByteArray();
        pending.reset();
        pending.write(all, wholeBytes, all.length - wholeBytes);
        noteLastId(new String(all, 0, wholeBytes, StandardCharsets.UTF_8));
        return ByteBuffer.wrap(all, 0, wholeBytes);
    }

    private void noteLastId(String events) {
        int at = events.startsWith(ID_FIELD) ? 0 : -1;
        int found = events.lastIndexOf("\n" + ID_FIELD);
        int start = found >= 0 ? found + 1 : at;
        if (start < 0) {
            return;
        }
        int end = events.indexOf('\n', start);
        lastId = events.substring(start + ID_FIELD.length(), end < 0 ? events.length() : end)
                .trim();
    }

    /**
     * Returns the id of the last whole event.
     *
     * @return the id, or nothing where no event had one
     */
    Optional<String> lastId() {
        return Optional.ofNullable(lastId);
    }

    /** Returns how many bytes of an event that has not ended are held. */
    int pendingBytes() {
        return pending.size();
    }

    /**
     * Tells whether an event has begun and not ended.
     *
     * @return true where bytes are left over
     */
    boolean midEvent() {
        return pending.size() > 0;
    }
}
