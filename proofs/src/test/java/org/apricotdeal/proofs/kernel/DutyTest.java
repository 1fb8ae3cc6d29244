package org.apricotdeal.proofs.kernel;

import java.util.concurrent.atomic.AtomicInteger;

import org.apricotdeal.kernel.duty.Duty;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that {@link Duty} processes what it has accepted. */
public final class DutyTest {
    private static final int DUTIES = 500;

    /** Duties that are closed before their threads run lost the events offered until then. */
    @Test
    public void eventsOfferedBeforeCloseAreProcessed() {
        AtomicInteger processed = new AtomicInteger();
        for (int i = 0; i < DUTIES; i++) {
            try (Duty<Integer> duty = new Duty<>("brief", 8, 10, event -> processed.incrementAndGet(), () -> {})) {
                duty.offer(i);
            }
        }
        assertEquals(processed.get(), DUTIES);
    }
}
