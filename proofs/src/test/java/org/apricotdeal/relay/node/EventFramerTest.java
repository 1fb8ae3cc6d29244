package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Event streams are cut at the ends of events, whatever the pieces that they come in. */
public final class EventFramerTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";

    @DataProvider
    public Object[][] pieces() {
        return new Object[][] {{1}, {2}, {3}, {7}, {16}, {1_000}};
    }

    @Test(dataProvider = "pieces")
    public void wholeEventsPassUnchanged(int pieceBytes) {
        EventFramer framer = new EventFramer();
        StringBuilder passed = new StringBuilder();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < bytes.length; at += pieceBytes) {
            ByteBuffer piece = ByteBuffer.wrap(bytes, at, Math.min(pieceBytes, bytes.length - at));
            passed.append(StandardCharsets.UTF_8.decode(framer.feed(piece)));
        }
        assertEquals(passed.toString(), STREAM);
        assertEquals(framer.lastId(), Optional.of("3"));
        assertFalse(framer.midEvent());
    }

    @Test
    public void brokenOffEventIsHeldBack() {
        EventFramer framer = new EventFramer();
        ByteBuffer passed = framer.feed(StandardCharsets.UTF_8.encode("id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals(StandardCharsets.UTF_8.decode(passed).toString(), "id: 1\ndata: a\n\n");
        assertEquals(framer.lastId(), Optional.of("1"));
        assertTrue(framer.midEvent());
    }

    @Test
    public void eventWithoutIdKeepsTheLastOne() {
        EventFramer framer = new EventFramer();
        framer.feed(StandardCharsets.UTF_8.encode("id: 5\ndata: a\n\n"));
        framer.feed(StandardCharsets.UTF_8.encode("data: id:9 is no id\n\n"));
        assertEquals(framer.lastId(), Optional.of("5"));
    }
}
