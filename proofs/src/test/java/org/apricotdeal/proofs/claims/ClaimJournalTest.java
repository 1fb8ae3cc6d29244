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

/** Tests the claims journal in single scenarios with explicit order of store calls and replies. */
public final class ClaimJournalTest {
    private ClaimJournalFixture fixture;

    @BeforeMethod
    public void startTwoNodes() {
        fixture = new ClaimJournalFixture();
        fixture.start("n1", "b1");
        fixture.start("n2", "b1");
    }

    @Test
    public void grantsOnlyAfterThePlatformConfirmsTheSwap() {
        fixture.request("n1", "r1", "key", "hash");
        ClaimJournalFixture.SentCall read = fixture.nextCall();
        fixture.reply(read, fixture.execute(read.call()));
        ClaimJournalFixture.SentCall swap = fixture.nextCall();
        StoreReply reply = fixture.execute(swap.call());
        assertEquals(fixture.decision("r1"), "");
        fixture.reply(swap, reply);
        assertEquals(fixture.decision("r1"), "granted");
    }

    @Test
    public void grantsOneOfTwoConcurrentClaims() {
        fixture.request("n1", "r1", "key", "hash");
        fixture.request("n2", "r2", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r1") + "," + fixture.decision("r2"), "granted,IN_PROGRESS");
    }

    @Test
    public void readsShardAfterLostSwapReply() {
        fixture.request("n1", "r1", "key", "hash");
        ClaimJournalFixture.SentCall read = fixture.nextCall();
        fixture.reply(read, fixture.execute(read.call()));
        ClaimJournalFixture.SentCall swap = fixture.nextCall();
        fixture.execute(swap.call());
        fixture.loseReply(swap);
        fixture.advanceMillis(50);
        fixture.tickAndExecuteAllCalls("n1");
        assertEquals(fixture.decision("r1"), "granted");
        assertEquals(fixture.writes(), 1);
    }

    @Test
    public void refusesWhilePlatformIsUnavailableAndNeverGrantsLater() {
        fixture.request("n1", "r1", "key", "hash");
        ClaimJournalFixture.SentCall read = fixture.nextCall();
        fixture.reply(read, fixture.execute(read.call()));
        ClaimJournalFixture.SentCall swap = fixture.nextCall();
        fixture.loseReply(swap);
        fixture.advanceMillis(1_001);
        fixture.send("n1", new ClaimEvent.Tick());
        assertEquals(fixture.decision("r1"), "PLATFORM_AWAY");
        fixture.execute(swap.call());
        assertTrue(fixture.journalHolds("n1.b1:1"));
        fixture.executeAllCalls();
        fixture.tickAndExecuteAllCalls("n1");
        assertEquals(fixture.decision("r1"), "PLATFORM_AWAY");
        assertFalse(fixture.journalHolds("n1.b1:1"), "the journal still contains the claim of the refused request");
    }

    @Test
    public void preventsLateSwapOfRefusedRequestFromTakingEffect() {
        fixture.request("n1", "r1", "key", "hash");
        ClaimJournalFixture.SentCall read = fixture.nextCall();
        fixture.reply(read, fixture.execute(read.call()));
        ClaimJournalFixture.SentCall late = fixture.nextCall();
        fixture.loseReply(late);
        fixture.advanceMillis(1_001);
        fixture.tickAndExecuteAllCalls("n1");
        fixture.tickAndExecuteAllCalls("n1");
        assertTrue(fixture.execute(late.call()) instanceof StoreReply.Conflict, "the late swap took effect");
        fixture.request("n2", "r2", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r2"), "granted");
    }

    @Test
    public void replaysRecordedAnswerOnAnotherNode() {
        run("n1", "r1", "key", "booked");
        fixture.request("n2", "r2", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r2"), "replay booked");
    }

    @Test
    public void refusesDuplicateIfAnswerWasTooLargeToStore() {
        run("n1", "r1", "key", "an answer of more than sixteen bytes");
        fixture.request("n2", "r2", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r2"), "ALREADY_RUN");
    }

    @Test
    public void refusesKeyThatWasUsedForAnotherRequest() {
        run("n1", "r1", "key", "booked");
        fixture.request("n2", "r2", "key", "another hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r2"), "KEY_REUSED");
    }

    @Test
    public void neverRepeatsCallThatAFailedNodeMayHaveRun() {
        fixture.request("n1", "r1", "key", "hash");
        fixture.executeAllCalls();
        fixture.start("n1", "b2");
        fixture.request("n1", "r2", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r2"), "IN_PROGRESS");
        fixture.advanceMillis(ClaimJournalFixture.TIMEOUT_MILLIS + 1_001);
        fixture.request("n1", "r3", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r3"), "OUTCOME_UNKNOWN");
    }

    @Test
    public void removesClaimOfCallThatWasNotSent() {
        fixture.request("n1", "r1", "key", "hash");
        fixture.executeAllCalls();
        fixture.send("n1", new ClaimEvent.NotRun(new RequestId("r1")));
        fixture.executeAllCalls();
        fixture.request("n2", "r2", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r2"), "granted");
    }

    @Test
    public void keepsClaimUntilRetentionHasPassedOnTheWritersClock() {
        run("n1", "r1", "key", "booked");
        for (long atMillis = 100; atMillis <= ClaimJournalFixture.RETENTION_MILLIS; atMillis += 100) {
            fixture.advanceMillis(100);
            run("n1", "other" + atMillis, "other" + atMillis % 1_000, "booked");
        }
        assertTrue(fixture.journalHolds("guild/key"), "removed before " + ClaimJournalFixture.RETENTION_MILLIS);
    }

    @Test
    public void dropsExpiredClaimsFromAFullShard() {
        run("n1", "r1", "key", "booked");
        for (int i = 0; i < 200; i++) {
            fixture.advanceMillis(100);
            run("n1", "x" + i, "x" + i, "booked");
        }
        assertFalse(fixture.journalHolds("guild/key\""), "claim still present after twice its retention");
    }

    @Test
    public void refusesRequestThatWaitedLongerThanAllowed() {
        fixture.request("n1", "r1", "key", "hash");
        ClaimJournalFixture.SentCall read = fixture.nextCall();
        fixture.reply(read, fixture.execute(read.call()));
        ClaimJournalFixture.SentCall swap = fixture.nextCall();
        StoreReply reply = fixture.execute(swap.call());
        fixture.advanceMillis(20_000);
        fixture.reply(swap, reply);
        assertEquals(fixture.decision("r1"), "PLATFORM_AWAY");
    }

    @Test
    public void refusesDuplicateThatWasQueuedUntilItsClaimExpired() {
        ClaimSettings largeShard = new ClaimSettings(1, 2_000, 1_000, 0, 0, 10, 16, 900_000);
        fixture.start("n1", "b1", largeShard, ClaimFault.NONE);
        fixture.start("n2", "b1", largeShard, ClaimFault.NONE);
        fixture.advanceMillis(1);
        run("n1", "r1", "key", "booked");
        for (int i = 0; i < 200; i++) {
            fixture.advanceMillis(100);
            run("n1", "x" + i, "x" + i, "booked");
        }
        fixture.requestReceivedAt(1, "n2", "late", "key", "hash");
        fixture.executeAllCalls();
        assertEquals(fixture.decision("late"), "PLATFORM_AWAY");
    }

    @Test
    public void refusesRequestIfTheShardIsFull() {
        fixture = new ClaimJournalFixture();
        fixture.start("n1", "b1", new ClaimSettings(1, 2_000, 1_000, 0, 0, 10, 16, 1_000), ClaimFault.NONE);
        for (int i = 0; i < 4; i++) {
            fixture.request("n1", "r" + i, "key" + i, "hash");
            fixture.executeAllCalls();
        }
        assertEquals(fixture.decision("r0"), "granted");
        assertEquals(fixture.decision("r3"), "JOURNAL_FULL");
    }

    @Test
    public void writesAllPendingClaimsWithOneSwap() {
        fixture = new ClaimJournalFixture();
        fixture.start("n1", "b1", new ClaimSettings(1, 2_000, 1_000, 0, 0, 10, 16, 900_000), ClaimFault.NONE);
        for (int i = 0; i < 500; i++) {
            fixture.request("n1", "r" + i, "key" + i, "hash");
        }
        fixture.executeAllCalls();
        assertEquals(fixture.decision("r499"), "granted");
        assertEquals(fixture.writes(), 1);
    }

    private void run(String node, String requestId, String key, String body) {
        fixture.request(node, requestId, key, "hash");
        fixture.executeAllCalls();
        fixture.complete(node, requestId, body);
        fixture.executeAllCalls();
    }
}
