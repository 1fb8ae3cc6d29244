package org.apricotdeal.relay.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.model.RequestTrait;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests which parts are blamed for crashes, given who lost which requests when. */
public final class PoisonDetectorTest {
    private static final ServedRelease SERVED = served("chat", "m1");
    private static final long TRIAL_DUE_MILLIS = 30_000;

    private PoisonDetector detector;

    @BeforeMethod
    public void create() {
        detector = new PoisonDetector("n1");
    }

    private static ServedRelease served(String upstream, String model) {
        return new ServedRelease(new UpstreamId(upstream), Optional.of(new ModelId(model)), "v1");
    }

    private static List<RequestTrait> prompt(String... parts) {
        return List.of(parts).stream().<RequestTrait>map(PromptPartId::new).toList();
    }

    private void crash(long atMillis, String vm, String... parts) {
        detector.recordCrash(new CrashId(new VmId(vm), 1), SERVED, prompt(parts), atMillis);
    }

    private Set<String> blamed() {
        return detector.blamed().stream()
                .flatMap(blame -> blame.traits().stream())
                .map(RequestTrait::toString)
                .collect(Collectors.toSet());
    }

    @Test
    public void oneCrashBlamesNothing() {
        crash(1_000, "v1", "first", "dead");
        assertEquals(blamed(), Set.of());
    }

    /** Until one of the two parts is seen without the other, only requests with both are held. */
    @Test
    public void partsSeenTogetherAreBlamedTogether() {
        crash(1_000, "v1", "first", "dead");
        crash(1_400, "v2", "first", "dead");
        assertEquals(blamed(), Set.of("first", "dead"));
        assertEquals(detector.verdict(SERVED, prompt("first", "doc"), 1_500), new PoisonVerdict.Free());
        assertTrue(
                detector.verdict(SERVED, prompt("first", "dead", "doc"), 1_500) instanceof PoisonVerdict.Held,
                "a request with both parts");
        detector.recordAnswer(SERVED, prompt("first", "doc"), 1_600);
        assertEquals(blamed(), Set.of("dead"));
    }

    /** With two different prompts only, another part of each might be the cause. */
    @Test
    public void partOfThreeDifferentPromptsIsBlamedAlone() {
        crash(1_000, "v1", "first1", "dead");
        crash(2_000, "v2", "first2", "dead");
        assertEquals(detector.verdict(SERVED, prompt("first3", "dead"), 2_100), new PoisonVerdict.Free());
        assertTrue(
                detector.verdict(SERVED, prompt("first1", "dead"), 2_100) instanceof PoisonVerdict.Held, "seen before");
        crash(3_000, "v3", "first3", "dead");
        assertEquals(blamed(), Set.of("dead"));
    }

    /** Two deadly parts come with the same first part, which is not known to be sound yet. */
    @Test
    public void firstPartOfTwoDeadlyOnesIsNotBlamedAlone() {
        crash(1_000, "v1", "first", "dead1");
        crash(1_400, "v2", "first", "dead1");
        crash(2_000, "v3", "first", "dead2");
        assertEquals(detector.verdict(SERVED, prompt("first", "doc"), 2_100), new PoisonVerdict.Free());
        assertTrue(detector.verdict(SERVED, prompt("first", "dead2"), 2_100) instanceof PoisonVerdict.Held, "dead2");
    }

    /** The bystander is lost with the first VM, and then with the second one, at which a deadly request was repeated too. */
    @Test
    public void bystanderLostTwiceIsNotBlamedBesideTheCause() {
        crash(1_000, "v1", "first", "dead");
        crash(1_003, "v2", "first", "dead");
        crash(1_010, "v1", "bystander");
        crash(1_340, "v3", "first", "dead");
        crash(1_370, "v4", "first", "dead");
        crash(1_380, "v4", "bystander");
        assertEquals(blamed(), Set.of("first", "dead"));
    }

    /** A sound request with the same first part is lost beside the deadly one. */
    @Test
    public void firstPartOfBystanderIsNotBlamed() {
        crash(1_000, "v1", "first", "dead");
        crash(1_000, "v1", "first");
        crash(1_400, "v2", "first", "dead");
        assertEquals(detector.verdict(SERVED, prompt("first"), 1_500), new PoisonVerdict.Free());
        assertTrue(detector.verdict(SERVED, prompt("first", "dead"), 1_500) instanceof PoisonVerdict.Held, "deadly");
    }

    /** A rack is lost, and what a node sees of it takes a moment. */
    @Test
    public void crashesAtTheSameTimeCountOnce() {
        crash(1_000, "v1", "doc");
        crash(1_040, "v2", "doc");
        crash(1_080, "v3", "doc");
        assertEquals(blamed(), Set.of());
    }

    /** A part that turns deadly needs a crash more, and time in which it might have been answered elsewhere. */
    @Test
    public void partAnsweredBeforeIsBlamedLater() {
        detector.recordAnswer(SERVED, prompt("dead"), 500);
        crash(1_000, "v1", "dead");
        crash(1_400, "v2", "dead");
        detector.tick(3_000);
        assertEquals(blamed(), Set.of());
        crash(4_000, "v3", "dead");
        assertEquals(blamed(), Set.of());
        detector.tick(5_100);
        assertEquals(blamed(), Set.of("dead"));
    }

    @Test
    public void answersOfOtherNodesClearParts() {
        crash(1_000, "v1", "doc");
        crash(1_400, "v2", "doc");
        PoisonDetector other = new PoisonDetector("n2");
        other.merge(detector.news(), 1_500);
        other.recordAnswer(SERVED, prompt("doc"), 1_600);
        detector.merge(other.news(), 1_700);
        assertEquals(blamed(), Set.of());
        assertEquals(detector.news().digest(), other.news().digest());
    }

    /** Another model of the same upstream gets a single request at once; another upstream is not concerned. */
    @Test
    public void otherModelIsTriedAndOtherUpstreamIsFree() {
        crash(1_000, "v1", "dead");
        crash(1_400, "v2", "dead");
        assertEquals(detector.verdict(served("other", "m1"), prompt("dead"), 1_500), new PoisonVerdict.Free());
        ServedRelease model = served("chat", "m2");
        assertEquals(detector.verdict(model, prompt("dead"), 1_500), new PoisonVerdict.OnTrial());
        detector.startTrial(model, prompt("dead"), 1_500);
        assertTrue(detector.verdict(model, prompt("dead"), 1_600) instanceof PoisonVerdict.Held, "one trial at a time");
        detector.recordAnswer(model, prompt("dead"), 1_900);
        assertEquals(detector.verdict(model, prompt("dead"), 2_000), new PoisonVerdict.Free());
        assertTrue(detector.verdict(SERVED, prompt("dead"), 2_000) instanceof PoisonVerdict.Held, "still held for m1");
    }

    /** Only one node may try at a time, and each failed trial doubles the hold. */
    @Test
    public void trialsTakeTurns() {
        detector.setNodes(List.of("n1", "n2", "n3"));
        PoisonDetector other = new PoisonDetector("n2");
        other.setNodes(List.of("n1", "n2", "n3"));
        crash(1_000, "v1", "dead");
        crash(1_400, "v2", "dead");
        assertEquals(detector.verdict(SERVED, prompt("dead"), TRIAL_DUE_MILLIS), new PoisonVerdict.OnTrial());
        detector.startTrial(SERVED, prompt("dead"), TRIAL_DUE_MILLIS);
        other.merge(detector.news(), TRIAL_DUE_MILLIS + 400);
        assertTrue(
                other.verdict(SERVED, prompt("dead"), TRIAL_DUE_MILLIS + 500) instanceof PoisonVerdict.Held,
                "the other node has heard of the trial");
        crash(TRIAL_DUE_MILLIS + 300, "v3", "dead");
        assertTrue(
                detector.verdict(SERVED, prompt("dead"), TRIAL_DUE_MILLIS + 39_000) instanceof PoisonVerdict.Held,
                "held for 40 s");
    }

    @Test
    public void holdIsShownWithItsTrialsAndEnd() {
        crash(1_000, "v1", "dead");
        crash(1_400, "v2", "dead");
        assertEquals(detector.held(), List.of(new HeldTraits(detector.blamed().getFirst(), 0, 21_400)));
        detector.startTrial(SERVED, prompt("dead"), TRIAL_DUE_MILLIS);
        crash(TRIAL_DUE_MILLIS + 300, "v3", "dead");
        assertEquals(
                detector.held(), List.of(new HeldTraits(detector.blamed().getFirst(), 1, TRIAL_DUE_MILLIS + 40_300)));
    }

    /** After a suspension this node cannot tell whether an answer came before the crashes that it hears of. */
    @Test
    public void answersBeforeSuspensionClearNothing() {
        detector.recordAnswer(SERVED, prompt("dead"), 1_000);
        detector.forgetAnswers();
        PoisonDetector other = new PoisonDetector("n2");
        other.recordCrash(new CrashId(new VmId("v1"), 1), SERVED, prompt("dead"), 500);
        other.recordCrash(new CrashId(new VmId("v2"), 1), SERVED, prompt("dead"), 900);
        detector.merge(other.news(), 1_100);
        assertEquals(blamed(), Set.of("dead"));
    }

    private void survive(long sentMillis, String vm) {
        detector.recordSurvival(new CrashId(new VmId(vm), 1), sentMillis, sentMillis + 50);
    }

    /** Two connections are reset 12 ms apart, at VMs whose connections were reset before and that serve on (issue 28). */
    @Test
    public void resetsOfVmsThatServeOnBlameNothing() {
        crash(1_000, "v1", "first", "doc");
        survive(1_100, "v1");
        crash(2_000, "v2", "first", "doc");
        survive(2_100, "v2");
        crash(9_000, "v1", "first", "doc");
        crash(9_012, "v2", "first", "doc");
        assertEquals(blamed(), Set.of());
    }

    /** A VM that survived a reset crashes later in the same epoch. */
    @Test
    public void crashesAfterSurvivedResetsAreCounted() {
        crash(1_000, "v1", "dead");
        survive(1_100, "v1");
        crash(9_000, "v1", "dead");
        crash(9_400, "v2", "dead");
        assertEquals(blamed(), Set.of("dead"));
    }

    /** Answers to requests that were sent before a crash may arrive after it. */
    @Test
    public void answersToEarlierRequestsShowNoSurvival() {
        crash(1_000, "v1", "dead");
        survive(999, "v1");
        crash(1_400, "v2", "dead");
        assertEquals(blamed(), Set.of("dead"));
    }

    /** Another node hears that the VM lives on. */
    @Test
    public void survivalIsMerged() {
        PoisonDetector other = new PoisonDetector("n2");
        crash(1_000, "v1", "doc");
        other.merge(detector.news(), 1_010);
        survive(1_100, "v1");
        long digestBefore = other.news().digest();
        other.merge(detector.news(), 1_200);
        assertTrue(other.news().digest() != digestBefore, "the news differ");
        other.recordCrash(new CrashId(new VmId("v2"), 1), SERVED, prompt("doc"), 9_000);
        assertEquals(other.blamed(), List.of());
    }

    private static RequestDigest digest(int number) {
        return new RequestDigest("ask", 0, number);
    }

    /** A request with a digest, given by its number, and parts. */
    private static List<RequestTrait> copyOf(int number, String... parts) {
        List<RequestTrait> request = new ArrayList<>(prompt(parts));
        request.add(digest(number));
        return request;
    }

    private void crashBy(long atMillis, String vm, int number, String... parts) {
        detector.recordCrash(new CrashId(new VmId(vm), 1), SERVED, copyOf(number, parts), atMillis);
    }

    /** 98103 of issue 45: the part was blamed, and a sound request with it cleared the deadly one. */
    @Test
    public void copiesOfOneRequestBlameNeitherItsPartNorWhoeverSharesIt() {
        detector.recordAnswer(SERVED, copyOf(2, "shared"), 500);
        crashBy(1_000, "v1", 1, "shared");
        crashBy(1_200, "v2", 1, "shared");
        crashBy(1_400, "v3", 1, "shared");
        detector.tick(9_000);
        assertEquals(blamed(), Set.of(digest(1).toString()));
        detector.recordAnswer(SERVED, copyOf(3, "shared"), 9_100);
        assertEquals(blamed(), Set.of(digest(1).toString()));
        assertEquals(detector.verdict(SERVED, copyOf(4, "shared"), 9_200), new PoisonVerdict.Free());
    }

    @Test
    public void differentRequestsBlameThePartThatTheyShare() {
        crashBy(1_000, "v1", 1, "dead");
        crashBy(1_200, "v2", 1, "dead");
        assertEquals(blamed(), Set.of(digest(1).toString()));
        crashBy(2_000, "v3", 2, "dead");
        assertEquals(blamed(), Set.of("dead"));
    }

    /** 98104 of issue 45: the repeat was lost 49 ms after the first copy. */
    @Test
    public void repeatThatIsLostSoonIsCrashOfItsOwn() {
        crashBy(1_000, "v1", 1);
        crashBy(1_049, "v2", 1);
        assertEquals(blamed(), Set.of(digest(1).toString()));
    }

    @Test
    public void requestLostTwiceWithItsRackIsNotBlamed() {
        crashBy(1_000, "v1", 1);
        crashBy(1_012, "v2", 1);
        assertEquals(blamed(), Set.of());
    }

    @Test
    public void otherCopiesWaitUntilLostOneIsAnswered() {
        crashBy(1_000, "v1", 1);
        assertTrue(detector.verdict(SERVED, copyOf(1), 1_010) instanceof PoisonVerdict.Unproven);
        assertEquals(detector.verdict(SERVED, copyOf(2), 1_010), new PoisonVerdict.Free());
        detector.recordAnswer(SERVED, copyOf(1), 1_300);
        assertEquals(detector.verdict(SERVED, copyOf(1), 1_310), new PoisonVerdict.Free());
    }

    @Test
    public void copiesOfAnsweredRequestDoNotWait() {
        detector.recordAnswer(SERVED, copyOf(1), 500);
        crashBy(1_000, "v1", 1);
        assertEquals(detector.verdict(SERVED, copyOf(1), 1_010), new PoisonVerdict.Free());
    }

    @Test
    public void tenThousandLostRequestsAreBounded() {
        for (int i = 0; i < 10_000; i++) {
            crashBy(1_000 + i, "v" + i / 64, i, "p" + i, "q" + i);
        }
        int traits = detector.news().crashes().stream()
                .flatMap(crash -> crash.requests().stream())
                .mapToInt(List::size)
                .sum();
        assertTrue(traits <= 2_048, traits + " traits");
    }
}
