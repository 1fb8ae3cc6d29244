package org.apricotdeal.relay.poison;

import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.Set;
import java.util.TreeSet;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.relay.model.RequestTrait;

/** Computes the digest by which nodes see whether they know the same; hashes of unchanged reports are kept. */
final class CrashNewsDigest {
    private IdentityHashMap<CrashReport, Long> reportHashes = new IdentityHashMap<>();

    /** Returns a text that does not depend on the order of a set. */
    static String text(Set<RequestTrait> traits) {
        Set<String> texts = new TreeSet<>();
        traits.forEach(trait -> texts.add(trait.toString()));
        return texts.toString();
    }

    /** Returns a number that is equal for nodes with the same crashes and trials, whose times differ between clocks. */
    long of(Collection<CrashReport> crashes, Collection<TraitTrial> trials) {
        IdentityHashMap<CrashReport, Long> hashes = new IdentityHashMap<>();
        long sum = 0;
        for (CrashReport crash : crashes) {
            Long known = reportHashes.get(crash);
            long hash = known == null ? hash(crash) : known;
            hashes.put(crash, hash);
            sum += hash;
        }
        reportHashes = hashes;
        for (TraitTrial trial : trials) {
            sum += Hashing.komihash4_3().hashCharsToLong(trial.tried() + " " + trial.count() + " " + trial.passed());
        }
        return sum;
    }

    private static long hash(CrashReport crash) {
        Set<String> requests = new TreeSet<>();
        crash.requests().forEach(request -> requests.add(request.toString()));
        return Hashing.komihash4_3()
                .hashCharsToLong(crash.id() + " " + crash.served() + " " + requests + " " + text(crash.soundTraits())
                        + " " + text(crash.clearedTraits()) + " " + crash.survived());
    }
}
