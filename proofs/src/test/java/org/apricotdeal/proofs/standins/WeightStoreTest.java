package org.apricotdeal.proofs.standins;

import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.standins.platform.WeightStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests {@link WeightStore} in virtual time. */
public final class WeightStoreTest {
    private static final long LOAD_MILLIS = 2_000;

    @Test
    public void loadsAtTheSameTimeAreBounded() {
        Scheduler scheduler = new Scheduler(1);
        WeightStore store = new WeightStore(scheduler, 2);
        assertTrue(store.begin("q1", LOAD_MILLIS));
        scheduler.runUntil(500);
        assertTrue(store.begin("q2", LOAD_MILLIS));
        assertFalse(store.begin("q3", LOAD_MILLIS));
        scheduler.runUntil(LOAD_MILLIS - 1);
        assertFalse(store.begin("q3", LOAD_MILLIS));
        scheduler.runUntil(LOAD_MILLIS);
        assertTrue(store.begin("q3", LOAD_MILLIS));
        assertFalse(store.begin("q4", LOAD_MILLIS));
    }

    @Test
    public void vmThatAsksAgainReplacesItsOwnLoad() {
        WeightStore store = new WeightStore(new Scheduler(1), 1);
        assertTrue(store.begin("q1", LOAD_MILLIS));
        assertTrue(store.begin("q1", LOAD_MILLIS));
        assertFalse(store.begin("q2", LOAD_MILLIS));
    }
}
