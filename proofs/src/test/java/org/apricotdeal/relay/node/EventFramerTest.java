package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that event streams are split at event boundaries regardless of the sizes of the chunks received. */
public final class EventFramerTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";

    @DataProvider
    public Object[][] chunkSizes() {
        return new Object[][] {{1}, {2}, {3}, {7}, {16}, {1_000}};
    }

    @Test(dataProvider = "chunkSizes")
    public void completeEventsPassUnchanged(int chunkBytes) {
        EventFramer framer = new EventFramer();
        StringBuilder passed = new StringBuilder();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at < bytes.length; at += chunkBytes) {
            ByteBuffer chunk = ByteBuffer.wrap(bytes, at, Math.min(chunkBytes, bytes.length - at));
            passed.append(StandardCharsets.UTF_8.decode(framer.feed(chunk)));
        }
        assertEquals(passed.toString(), STREAM);
        assertEquals(framer.lastId(), Optional.of("3"));
        assertFalse(framer.hasPartialEvent());
    }

    @Test
    public void partialEventIsHeldBack() {
        EventFramer framer = new EventFramer();
        ByteBuffer passed = framer.feed(StandardCharsets.UTF_8.encode("id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals(StandardCharsets.UTF_8.decode(passed).toString(), "id: 1\ndata: a\n\n");
        assertEquals(framer.lastId(), Optional.of("1"));
        assertTrue(framer.hasPartialEvent());
    }

    @Test
    public void eventWithoutIdKeepsLastId() {
        EventFramer framer = new EventFramer();
        framer.feed(StandardCharsets.UTF_8.encode("id: 5\ndata: a\n\n"));
        framer.feed(StandardCharsets.UTF_8.encode("data: id:9 is no id\n\n"));
        assertEquals(framer.lastId(), Optional.of("5"));
    }
}
