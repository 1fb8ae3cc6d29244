package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that the bodies of all requests together take limited memory: a burst of uploads ended the node (review/2). */
public final class RequestBodyTest {
    private static final int LIMIT_BYTES = 100_000;
    private static final int BODY_BYTES = 40_000;
    private static final int PART_BYTES = 1_000;

    @DataProvider
    public Object[][] lengths() {
        return new Object[][] {{(long) BODY_BYTES}, {-1L}};
    }

    /**
     * The limit holds for bodies with a length and in chunks; an ended exchange makes room.
     *
     * @param length length that the request names; -1 if it names none
     */
    @Test(dataProvider = "lengths")
    public void sumOfBodiesIsLimited(long length) {
        BufferLimit limit = new BufferLimit(LIMIT_BYTES);
        RequestBody first = new RequestBody(limit, LIMIT_BYTES);
        RequestBody second = new RequestBody(limit, LIMIT_BYTES);
        RequestBody third = new RequestBody(limit, LIMIT_BYTES);
        assertTrue(read(first, length));
        int admitted = read(second, length) ? 2 : 1;
        assertFalse(admitted == 2 && read(third, length));
        first.release();
        first.release();
        second.release();
        third.release();
        assertTrue(limit.tryReserve(LIMIT_BYTES));
        assertFalse(limit.tryReserve(1));
    }

    @Test
    public void contentIsThatOfTheRequest() {
        RequestBody body = new RequestBody(new BufferLimit(LIMIT_BYTES), LIMIT_BYTES);
        assertTrue(body.tryReserve(2));
        assertTrue(body.add(ByteBuffer.wrap(new byte[] {1, 2})));
        assertTrue(body.add(ByteBuffer.wrap(new byte[] {3})));
        assertEquals(body.content(), ByteBuffer.wrap(new byte[] {1, 2, 3}));
    }

    /** The largest body of a caller that names no length fits where the largest body with a length does. */
    @Test
    public void bodyInChunksTakesNoMoreThanLargestBody() {
        BufferLimit limit = new BufferLimit(BODY_BYTES);
        assertTrue(read(new RequestBody(limit, BODY_BYTES), -1));
        assertEquals(limit.reservedBytes(), BODY_BYTES);
    }

    private static boolean read(RequestBody body, long length) {
        if (!body.tryReserve(length)) {
            return false;
        }
        for (int size = 0; size < BODY_BYTES; size += PART_BYTES) {
            if (!body.add(ByteBuffer.allocate(PART_BYTES))) {
                return false;
            }
        }
        return true;
    }
}
