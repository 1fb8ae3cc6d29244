package org.apricotdeal.relay.node;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that a crowd that trickles counts as stalled, and that callers who send or read steadily do not. */
public final class TransferProgressTest {
    private static final int KIBIBYTE = 1_024;
    private static final int LARGE_BYTES = 1_024 * KIBIBYTE;
    private static final int SMALL_BYTES = 8 * KIBIBYTE;
    private static final long HOLD_MILLIS = 10_000;
    private static final long PERIOD_MILLIS = 500;

    private static long lastProgressMillis(int heldBytes, int bytesInPeriod) {
        TransferProgress progress = new TransferProgress(HOLD_MILLIS, 0);
        for (long nowMillis = PERIOD_MILLIS; nowMillis <= HOLD_MILLIS; nowMillis += PERIOD_MILLIS) {
            progress.add(bytesInPeriod, heldBytes, nowMillis);
        }
        return progress.progressMillis();
    }

    @Test
    public void largeBodyThatTricklesDoesNotProgress() {
        assertEquals(lastProgressMillis(LARGE_BYTES, KIBIBYTE), 0);
    }

    @Test
    public void largeBodyThatArrivesInTimeProgresses() {
        assertEquals(lastProgressMillis(LARGE_BYTES, LARGE_BYTES / 20 + 1), HOLD_MILLIS);
    }

    /** Ordinary bodies owe no more than 1 KiB. */
    @Test
    public void smallBodyProgressesWithOneKibibyte() {
        assertEquals(lastProgressMillis(SMALL_BYTES, KIBIBYTE), HOLD_MILLIS);
        assertEquals(lastProgressMillis(SMALL_BYTES, 1), 0);
    }
}
