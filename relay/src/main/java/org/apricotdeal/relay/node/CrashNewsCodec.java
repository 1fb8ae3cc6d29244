package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.poison.CrashId;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.poison.CrashReport;
import org.apricotdeal.relay.poison.ModelRelease;
import org.apricotdeal.relay.poison.PartTrial;
import org.apricotdeal.relay.poison.ServedPart;
import org.apricotdeal.wire.gen.TRelayCrash;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayTrial;

/** Converts {@link CrashNews} to the fields of a heartbeat and back; times are sent as ages, since clocks differ. */
final class CrashNewsCodec {
    private CrashNewsCodec() {}

    /** Adds crashes and trials to a heartbeat. */
    static void encode(CrashNews news, TRelayHeartbeat heartbeat, long nowMillis) {
        heartbeat.setCrashes(
                news.crashes().stream().map(crash -> encode(crash, nowMillis)).toList());
        heartbeat.setTrials(
                news.trials().stream().map(trial -> encode(trial, nowMillis)).toList());
    }

    private static TRelayCrash encode(CrashReport crash, long nowMillis) {
        TRelayCrash encoded = new TRelayCrash(
                crash.served().upstream().value(),
                crash.served().model().value(),
                crash.served().release(),
                crash.id().vm().value(),
                crash.id().epoch(),
                ageMillis(crash.atMillis(), nowMillis),
                crash.prompts().stream().map(CrashNewsCodec::texts).toList(),
                texts(crash.soundParts()),
                texts(crash.clearedParts()));
        encoded.setSurvivals(crash.id().survivals());
        encoded.setSurvived(crash.survived());
        return encoded;
    }

    private static TRelayTrial encode(PartTrial trial, long nowMillis) {
        return new TRelayTrial(
                trial.tried().served().upstream().value(),
                trial.tried().served().model().value(),
                trial.tried().served().release(),
                trial.tried().part().value(),
                ageMillis(trial.startedMillis(), nowMillis),
                trial.count(),
                trial.passed());
    }

    private static int ageMillis(long atMillis, long nowMillis) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, nowMillis - atMillis));
    }

    private static List<String> texts(Iterable<PromptPartId> parts) {
        List<String> texts = new ArrayList<>();
        parts.forEach(part -> texts.add(part.value()));
        return texts;
    }

    /**
     * Reads the crashes and trials of a heartbeat.
     *
     * @throws IllegalArgumentException if an id is invalid
     */
    static CrashNews decode(TRelayHeartbeat heartbeat, long nowMillis) {
        List<CrashReport> crashes = new ArrayList<>();
        if (heartbeat.isSetCrashes()) {
            heartbeat.getCrashes().forEach(crash -> crashes.add(decode(crash, nowMillis)));
        }
        List<PartTrial> trials = new ArrayList<>();
        if (heartbeat.isSetTrials()) {
            heartbeat.getTrials().forEach(trial -> trials.add(decode(trial, nowMillis)));
        }
        return new CrashNews(heartbeat.getCrashDigest(), crashes, trials);
    }

    private static CrashReport decode(TRelayCrash crash, long nowMillis) {
        Set<List<PromptPartId>> prompts = new HashSet<>();
        crash.getPrompts()
                .forEach(prompt ->
                        prompts.add(prompt.stream().map(PromptPartId::new).toList()));
        return new CrashReport(
                new CrashId(new VmId(crash.getVm()), crash.getNumber(), crash.getSurvivals()),
                served(crash.getUpstream(), crash.getModel(), crash.getRelease()),
                nowMillis - crash.getAgeMillis(),
                prompts,
                parts(crash.getSoundParts()),
                parts(crash.getClearedParts()),
                crash.isSurvived());
    }

    private static PartTrial decode(TRelayTrial trial, long nowMillis) {
        return new PartTrial(
                new ServedPart(
                        served(trial.getUpstream(), trial.getModel(), trial.getRelease()),
                        new PromptPartId(trial.getPart())),
                nowMillis - trial.getAgeMillis(),
                trial.getCount(),
                trial.isPassed());
    }

    private static ModelRelease served(String upstream, String model, String release) {
        return new ModelRelease(new UpstreamId(upstream), new ModelId(model), release);
    }

    private static Set<PromptPartId> parts(List<String> texts) {
        Set<PromptPartId> parts = new HashSet<>();
        texts.forEach(text -> parts.add(new PromptPartId(text)));
        return parts;
    }
}
