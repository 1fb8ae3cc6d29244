package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.model.RequestTrait;
import org.apricotdeal.relay.poison.CrashId;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.poison.CrashReport;
import org.apricotdeal.relay.poison.ServedRelease;
import org.apricotdeal.relay.poison.ServedTrait;
import org.apricotdeal.relay.poison.TraitTrial;
import org.apricotdeal.wire.gen.TRelayCrash;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayTrial;

/**
 * Converts {@link CrashNews} to the fields of a heartbeat and back; times are sent as ages, since clocks differ. What concerns
 * plain services has fields of its own, because nodes of earlier versions reject crashes without a model. They take a digest
 * for a part that no prompt has.
 */
final class CrashNewsCodec {
    private CrashNewsCodec() {}

    /** Adds crashes and trials to a heartbeat. */
    static void encode(CrashNews news, TRelayHeartbeat heartbeat, long nowMillis) {
        heartbeat.setCrashes(new ArrayList<>());
        heartbeat.setTrials(new ArrayList<>());
        for (CrashReport crash : news.crashes()) {
            if (crash.served().model().isPresent()) {
                heartbeat.addToCrashes(encode(crash, nowMillis));
            } else {
                heartbeat.addToServiceCrashes(encode(crash, nowMillis));
            }
        }
        for (TraitTrial trial : news.trials()) {
            if (trial.tried().served().model().isPresent()) {
                heartbeat.addToTrials(encode(trial, nowMillis));
            } else {
                heartbeat.addToServiceTrials(encode(trial, nowMillis));
            }
        }
    }

    private static String modelName(ServedRelease served) {
        return served.model().map(ModelId::value).orElse("");
    }

    private static TRelayCrash encode(CrashReport crash, long nowMillis) {
        TRelayCrash encoded = new TRelayCrash(
                crash.served().upstream().value(),
                modelName(crash.served()),
                crash.served().release(),
                crash.id().vm().value(),
                crash.id().epoch(),
                ageMillis(crash.atMillis(), nowMillis),
                crash.requests().stream().map(CrashNewsCodec::texts).toList(),
                texts(crash.soundTraits()),
                texts(crash.clearedTraits()));
        encoded.setSurvivals(crash.id().survivals());
        encoded.setSurvived(crash.survived());
        return encoded;
    }

    private static TRelayTrial encode(TraitTrial trial, long nowMillis) {
        return new TRelayTrial(
                trial.tried().served().upstream().value(),
                modelName(trial.tried().served()),
                trial.tried().served().release(),
                trial.tried().trait().toString(),
                ageMillis(trial.startedMillis(), nowMillis),
                trial.count(),
                trial.passed());
    }

    private static int ageMillis(long atMillis, long nowMillis) {
        return (int) Math.min(Integer.MAX_VALUE, Math.max(0, nowMillis - atMillis));
    }

    private static List<String> texts(Iterable<RequestTrait> traits) {
        List<String> texts = new ArrayList<>();
        traits.forEach(trait -> texts.add(trait.toString()));
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
        if (heartbeat.isSetServiceCrashes()) {
            heartbeat.getServiceCrashes().forEach(crash -> crashes.add(decode(crash, nowMillis)));
        }
        List<TraitTrial> trials = new ArrayList<>();
        if (heartbeat.isSetTrials()) {
            heartbeat.getTrials().forEach(trial -> trials.add(decode(trial, nowMillis)));
        }
        if (heartbeat.isSetServiceTrials()) {
            heartbeat.getServiceTrials().forEach(trial -> trials.add(decode(trial, nowMillis)));
        }
        return new CrashNews(heartbeat.getCrashDigest(), crashes, trials);
    }

    private static CrashReport decode(TRelayCrash crash, long nowMillis) {
        Set<List<RequestTrait>> requests = new HashSet<>();
        crash.getPrompts()
                .forEach(request ->
                        requests.add(request.stream().map(CrashNewsCodec::trait).toList()));
        return new CrashReport(
                new CrashId(new VmId(crash.getVm()), crash.getNumber(), crash.getSurvivals()),
                served(crash.getUpstream(), crash.getModel(), crash.getRelease()),
                nowMillis - crash.getAgeMillis(),
                requests,
                traits(crash.getSoundParts()),
                traits(crash.getClearedParts()),
                crash.isSurvived());
    }

    private static TraitTrial decode(TRelayTrial trial, long nowMillis) {
        return new TraitTrial(
                new ServedTrait(
                        served(trial.getUpstream(), trial.getModel(), trial.getRelease()), trait(trial.getPart())),
                nowMillis - trial.getAgeMillis(),
                trial.getCount(),
                trial.isPassed());
    }

    private static ServedRelease served(String upstream, String model, String release) {
        Optional<ModelId> id = model.isEmpty() ? Optional.empty() : Optional.of(new ModelId(model));
        return new ServedRelease(new UpstreamId(upstream), id, release);
    }

    private static RequestTrait trait(String text) {
        return RequestDigest.isDigest(text) ? RequestDigest.parse(text) : new PromptPartId(text);
    }

    private static Set<RequestTrait> traits(List<String> texts) {
        Set<RequestTrait> traits = new HashSet<>();
        texts.forEach(text -> traits.add(trait(text)));
        return traits;
    }
}
