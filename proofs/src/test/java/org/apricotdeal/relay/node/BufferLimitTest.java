package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests who gives way while a crowd of buffers that stall takes all the memory that it may. */
public final class BufferLimitTest {
    private static final int LIMIT_BYTES = 4_000_000;
    private static final int LARGE_BYTES = 1_000_000;
    private static final int SMALL_BYTES = 10_000;
    private static final long NOW_MILLIS = 10_000;

    private final List<Long> gaveWay = new ArrayList<>();

    /** A buffer of the crowd, named by the time of its last progress. */
    private record Stalled(BufferLimit limit, long progressMillis, int heldBytes, List<Long> gaveWay)
            implements BufferLimit.Holder {
        @Override
        public boolean giveWay() {
            limit.release(heldBytes);
            return gaveWay.add(progressMillis);
        }
    }

    private BufferLimit crowd(int heldBytes, long... progressMillis) {
        gaveWay.clear();
        BufferLimit limit = new BufferLimit(LIMIT_BYTES);
        for (long millis : progressMillis) {
            assertTrue(limit.tryReserve(heldBytes, heldBytes));
            limit.add(new Stalled(limit, millis, heldBytes, gaveWay));
        }
        return limit;
    }

    @Test
    public void crowdOfLargeBuffersLeavesRoomForSmallOnes() {
        BufferLimit limit = crowd(LARGE_BYTES, NOW_MILLIS, NOW_MILLIS, NOW_MILLIS);
        assertFalse(limit.tryReserve(LARGE_BYTES, LARGE_BYTES));
        assertTrue(limit.tryReserve(SMALL_BYTES, SMALL_BYTES));
    }

    @Test
    public void longestStalledGivesWayFirst() {
        BufferLimit limit = crowd(LARGE_BYTES, 3_000, 2_000, 4_000);
        assertTrue(limit.makeRoom(NOW_MILLIS, LARGE_BYTES));
        assertEquals(gaveWay, List.of(2_000L));
        assertTrue(limit.tryReserve(LARGE_BYTES, LARGE_BYTES));
    }

    @Test
    public void progressingBuffersAreKept() {
        BufferLimit limit = crowd(LARGE_BYTES, NOW_MILLIS - 100, NOW_MILLIS, NOW_MILLIS - 200);
        assertFalse(limit.makeRoom(NOW_MILLIS, LARGE_BYTES));
        assertEquals(gaveWay, List.of());
    }

    /** A slow caller with a small body does not lose it to large bodies. */
    @Test
    public void smallBuffersGiveWayToSmallOnesOnly() {
        BufferLimit limit = crowd(SMALL_BYTES, 1_000, 2_000);
        assertFalse(limit.makeRoom(NOW_MILLIS, LARGE_BYTES));
        assertTrue(limit.makeRoom(NOW_MILLIS, SMALL_BYTES));
        assertEquals(gaveWay, List.of(1_000L));
    }
}
