package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.poison.CrashId;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.poison.CrashReport;
import org.apricotdeal.relay.poison.ServedRelease;
import org.apricotdeal.relay.poison.ServedTrait;
import org.apricotdeal.relay.poison.TraitTrial;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that what nodes tell each other about crashes arrives whole, on the clock of the receiver. */
public final class CrashNewsCodecTest {
    private static final PromptPartId FIRST = new PromptPartId("a1");
    private static final PromptPartId DEADLY = new PromptPartId("b2");
    private static final ServedRelease SERVED =
            new ServedRelease(new UpstreamId("chat"), Optional.of(new ModelId("m1")), "v1");

    private static CrashNews news(long offsetMillis) {
        CrashReport crash = new CrashReport(
                new CrashId(new VmId("e1"), 7, 2),
                SERVED,
                1_000 + offsetMillis,
                Set.of(List.of(FIRST, DEADLY), List.of(FIRST)),
                Set.of(FIRST),
                Set.of(FIRST),
                true);
        TraitTrial trial = new TraitTrial(new ServedTrait(SERVED, DEADLY), 2_000 + offsetMillis, 3, true);
        return new CrashNews(42, List.of(crash), List.of(trial));
    }

    @Test
    public void newsArriveOnTheClockOfTheReceiver() {
        TRelayHeartbeat heartbeat = new TRelayHeartbeat();
        heartbeat.setCrashDigest(42);
        CrashNewsCodec.encode(news(0), heartbeat, 5_000);
        assertEquals(CrashNewsCodec.decode(heartbeat, 905_000), news(900_000));
    }

    /** Nodes of earlier versions drop a heartbeat in whose crashes or trials a model is missing. */
    @Test
    public void crashesOfPlainServicesAreNotInFieldsOfEarlierVersions() {
        ServedRelease service = new ServedRelease(new UpstreamId("shop"), Optional.empty(), "v1");
        RequestDigest digest = new RequestDigest("orders", -1, 2);
        CrashReport crash = new CrashReport(
                new CrashId(new VmId("s1"), 7, 0),
                service,
                1_000,
                Set.of(List.of(digest)),
                Set.of(),
                Set.of(digest),
                false);
        TraitTrial trial = new TraitTrial(new ServedTrait(service, digest), 2_000, 1, false);
        CrashNews news = new CrashNews(42, List.of(crash), List.of(trial));
        TRelayHeartbeat heartbeat = new TRelayHeartbeat();
        heartbeat.setCrashDigest(42);
        CrashNewsCodec.encode(news, heartbeat, 5_000);
        assertTrue(heartbeat.getCrashes().isEmpty() && heartbeat.getTrials().isEmpty());
        assertEquals(CrashNewsCodec.decode(heartbeat, 5_000), news);
    }
}
