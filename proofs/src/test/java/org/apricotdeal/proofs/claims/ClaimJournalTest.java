package org.apricotdeal.proofs.claims;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.platform.call.StoreReply;
import org.apricotdeal.policy.claims.ClaimEvent;
import org.apricotdeal.policy.claims.ClaimFault;
import org.apricotdeal.policy.claims.ClaimSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests single courses of the claims journal. */
public final class ClaimJournalTest {
    private JournalBench bench;

    @BeforeMethod
    public void startTwoNodes() {
        bench = new JournalBench();
        bench.start("n1", "b1");
        bench.start("n2", "b1");
    }

    @Test
    public void grantsOnlyOnceThePlatformHasConfirmed() {
        bench.request("n1", "r1", "key", "hash");
        JournalBench.Sent read = bench.next();
        bench.reply(read, bench.execute(read.call()));
        JournalBench.Sent swap = bench.next();
        StoreReply reply = bench.execute(swap.call());
        assertEquals(bench.decision("r1"), "");
        bench.reply(swap, reply);
        assertEquals(bench.decision("r1"), "granted");
    }

    @Test
    public void grantsOneOfTwoNodesThatRace() {
        bench.request("n1", "r1", "key", "hash");
        bench.request("n2", "r2", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("r1") + "," + bench.decision("r2"), "granted,IN_PROGRESS");
    }

    @Test
    public void settlesSwapWithLostReplyByReading() {
        bench.request("n1", "r1", "key", "hash");
        JournalBench.Sent read = bench.next();
        bench.reply(read, bench.execute(read.call()));
        JournalBench.Sent swap = bench.next();
        bench.execute(swap.call());
        bench.loseReply(swap);
        bench.passMillis(50);
        bench.tickAndSettle("n1");
        assertEquals(bench.decision("r1"), "granted");
        assertEquals(bench.writes(), 1);
    }

    @Test
    public void refusesAsNotRunWhilePlatformIsAwayAndNeverGrantsLater() {
        bench.request("n1", "r1", "key", "hash");
        JournalBench.Sent read = bench.next();
        bench.reply(read, bench.execute(read.call()));
        JournalBench.Sent swap = bench.next();
        bench.loseReply(swap);
        bench.passMillis(1_001);
        bench.tell("n1", new ClaimEvent.Tick());
        assertEquals(bench.decision("r1"), "PLATFORM_AWAY");
        bench.execute(swap.call());
        assertTrue(bench.journalHolds("n1.b1:1"));
        bench.settle();
        bench.tickAndSettle("n1");
        assertEquals(bench.decision("r1"), "PLATFORM_AWAY");
        assertFalse(bench.journalHolds("n1.b1:1"), "the refused request's claim is still held");
    }

    @Test
    public void fencesSwapThatTakesEffectAfterItsRequestWasRefused() {
        bench.request("n1", "r1", "key", "hash");
        JournalBench.Sent read = bench.next();
        bench.reply(read, bench.execute(read.call()));
        JournalBench.Sent late = bench.next();
        bench.loseReply(late);
        bench.passMillis(1_001);
        bench.tickAndSettle("n1");
        bench.tickAndSettle("n1");
        assertTrue(bench.execute(late.call()) instanceof StoreReply.Conflict, "the late swap still took effect");
        bench.request("n2", "r2", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("r2"), "granted");
    }

    @Test
    public void replaysRecordedAnswerAtAnotherNode() {
        run("n1", "r1", "key", "booked");
        bench.request("n2", "r2", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("r2"), "replay booked");
    }

    @Test
    public void saysThatTooLargeAnswerIsNotKept() {
        run("n1", "r1", "key", "an answer of more than sixteen bytes");
        bench.request("n2", "r2", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("r2"), "ALREADY_RUN");
    }

    @Test
    public void refusesKeyThatWasUsedForAnotherRequest() {
        run("n1", "r1", "key", "booked");
        bench.request("n2", "r2", "key", "another hash");
        bench.settle();
        assertEquals(bench.decision("r2"), "KEY_REUSED");
    }

    @Test
    public void neverRunsAgainWhatADeadNodeMayHaveRun() {
        bench.request("n1", "r1", "key", "hash");
        bench.settle();
        bench.start("n1", "b2");
        bench.request("n1", "r2", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("r2"), "IN_PROGRESS");
        bench.passMillis(JournalBench.TIMEOUT_MILLIS + 1_001);
        bench.request("n1", "r3", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("r3"), "OUTCOME_UNKNOWN");
    }

    @Test
    public void givesClaimBackWhereTheCallWasNotSent() {
        bench.request("n1", "r1", "key", "hash");
        bench.settle();
        bench.tell("n1", new ClaimEvent.NotRun(new RequestId("r1")));
        bench.settle();
        bench.request("n2", "r2", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("r2"), "granted");
    }

    @Test
    public void keepsClaimUntilRetentionHasPassedOnAWritersOwnClock() {
        run("n1", "r1", "key", "booked");
        for (long atMillis = 100; atMillis <= JournalBench.RETENTION_MILLIS; atMillis += 100) {
            bench.passMillis(100);
            run("n1", "other" + atMillis, "other" + atMillis % 1_000, "booked");
        }
        assertTrue(bench.journalHolds("guild/key"), "dropped before " + JournalBench.RETENTION_MILLIS);
    }

    @Test
    public void dropsClaimsInTimeEvenFromAFullShard() {
        run("n1", "r1", "key", "booked");
        for (int i = 0; i < 200; i++) {
            bench.passMillis(100);
            run("n1", "x" + i, "x" + i, "booked");
        }
        assertFalse(bench.journalHolds("guild/key\""), "still held after twice the retention");
    }

    @Test
    public void refusesRequestThatWaitedLongerThanTheHold() {
        bench.request("n1", "r1", "key", "hash");
        JournalBench.Sent read = bench.next();
        bench.reply(read, bench.execute(read.call()));
        JournalBench.Sent swap = bench.next();
        StoreReply reply = bench.execute(swap.call());
        bench.passMillis(20_000);
        bench.reply(swap, reply);
        assertEquals(bench.decision("r1"), "PLATFORM_AWAY");
    }

    @Test
    public void refusesCopyThatWaitedInARingUntilTheFirstClaimWasDropped() {
        ClaimSettings roomy = new ClaimSettings(1, 2_000, 1_000, 0, 0, 10, 16, 900_000);
        bench.start("n1", "b1", roomy, ClaimFault.NONE);
        bench.start("n2", "b1", roomy, ClaimFault.NONE);
        bench.passMillis(1);
        run("n1", "r1", "key", "booked");
        for (int i = 0; i < 200; i++) {
            bench.passMillis(100);
            run("n1", "x" + i, "x" + i, "booked");
        }
        bench.requestReceivedAt(1, "n2", "late", "key", "hash");
        bench.settle();
        assertEquals(bench.decision("late"), "PLATFORM_AWAY");
    }

    @Test
    public void refusesAsNotRunWhenTheShardIsFull() {
        bench = new JournalBench();
        bench.start("n1", "b1", new ClaimSettings(1, 2_000, 1_000, 0, 0, 10, 16, 1_000), ClaimFault.NONE);
        for (int i = 0; i < 4; i++) {
            bench.request("n1", "r" + i, "key" + i, "hash");
            bench.settle();
        }
        assertEquals(bench.decision("r0"), "granted");
        assertEquals(bench.decision("r3"), "JOURNAL_FULL");
    }

    @Test
    public void writesAllWaitingClaimsWithOneSwap() {
        bench = new JournalBench();
        bench.start("n1", "b1", new ClaimSettings(1, 2_000, 1_000, 0, 0, 10, 16, 900_000), ClaimFault.NONE);
        for (int i = 0; i < 500; i++) {
            bench.request("n1", "r" + i, "key" + i, "hash");
        }
        bench.settle();
        assertEquals(bench.decision("r499"), "granted");
        assertEquals(bench.writes(), 1);
    }

    private void run(String node, String requestId, String key, String body) {
        bench.request(node, requestId, key, "hash");
        bench.settle();
        bench.complete(node, requestId, body);
        bench.settle();
    }
}
