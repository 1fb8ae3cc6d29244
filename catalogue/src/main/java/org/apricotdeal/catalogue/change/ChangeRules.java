package org.apricotdeal.catalogue.change;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.catalogue.check.CatalogueChecker;
import org.apricotdeal.catalogue.check.EntryPlaces;
import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.diff.CatalogueDiff;
import org.apricotdeal.catalogue.diff.EntryDifference;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * Decides what a change comes to against the catalogue in force.
 *
 * <p>The questions are asked in this order, and the first one that applies decides.
 *
 * <ol>
 *   <li>Was the change accepted already? A retry after a lost reply finds its own id among the recent changes, even where
 *       others have changed the catalogue since. An id that was used for other contents is refused, so that an operator
 *       is not told "accepted" about a change that never was.
 *   <li>Is it based on the version in force? If not, and the version in force has all that it asks for, nothing is lost.
 *       Otherwise the entries touched since are known from the recent changes. Where
 *       both sides touched an entry, the later operator has lost and sees both versions of it. Where they touched
 *       different entries, the change may be carried over, but only if the operator has asked for that: two changes that
 *       are fine on their own can be wrong together, and the tool cannot know.
 *   <li>Is there anything to do?
 *   <li>Is the whole catalogue valid with the change, and small enough to be stored? This is checked against the version
 *       in force and not the one that the operator saw.
 * </ol>
 *
 * <p>The next version is the version in force plus one. Two operators can come to the same number, but compare-and-swap
 * lets only one of them write it.
 */
public final class ChangeRules {
    private ChangeRules() {}

    /**
     * Decides.
     *
     * @param current the catalogue in force
     * @param change the change
     * @param mayRebase whether the operator lets the change be carried over other operators' changes of other entries
     * @param places tells where entries stand, for findings
     * @return the verdict
     */
    public static ChangeVerdict decide(
            StoredCatalogue current, CatalogueChange change, boolean mayRebase, EntryPlaces places) {
        Optional<AcceptedChange> accepted = current.find(change.changeId());
        if (accepted.isPresent()) {
            return recognise(current, change, accepted.get(), places);
        }
        long version = current.catalogue().version();
        Optional<Set<String>> touched = current.keysTouchedAfter(change.baseVersion());
        if (change.baseVersion() > version || touched.isEmpty()) {
            return new ChangeVerdict.BaseUnknown(change.baseVersion(), version);
        }
        if (change.baseVersion() < version) {
            if (othersDidIt(current.catalogue(), change, touched.get())) {
                return new ChangeVerdict.NothingToDo(version);
            }
            List<EntryDifference> differing = differing(current.catalogue(), change, touched.get());
            if (!mayRebase || !differing.isEmpty()) {
                return new ChangeVerdict.Outdated(change.baseVersion(), version, touched.get(), differing);
            }
        }
        return applyTo(current, change, places);
    }

    /** Tells whether the catalogue in force has all that an outdated change asks for. */
    private static boolean othersDidIt(Catalogue current, CatalogueChange change, Set<String> touched) {
        for (String key : change.deletes()) {
            if (!touched.contains(key)) {
                return false;
            }
        }
        return differing(current, change, change.keys()).isEmpty();
    }

    private static ChangeVerdict recognise(
            StoredCatalogue current, CatalogueChange change, AcceptedChange accepted, EntryPlaces places) {
        Set<String> changedLater = current.keysTouchedAfter(accepted.version())
                .orElseGet(() -> current.catalogue().entries().keySet());
        Set<String> mine = new HashSet<>(change.keys());
        mine.removeAll(changedLater);
        for (EntryDifference difference : differing(current.catalogue(), change, mine)) {
            Findings findings = new Findings();
            findings.add(
                    Message.CATALOGUE_CHANGE_ID_REUSED,
                    places.place(difference.key(), ""),
                    change.changeId(),
                    accepted.version());
            return new ChangeVerdict.Invalid(findings);
        }
        return new ChangeVerdict.AlreadyAccepted(accepted.version());
    }

    /** Returns how the given entries differ between the catalogue in force and the change. */
    private static List<EntryDifference> differing(Catalogue current, CatalogueChange change, Set<String> keys) {
        List<Entry> inForce = new ArrayList<>();
        List<Entry> wanted = new ArrayList<>();
        for (String key : change.keys()) {
            if (!keys.contains(key)) {
                continue;
            }
            if (current.entries().containsKey(key)) {
                inForce.add(current.entries().get(key));
            }
            if (change.puts().containsKey(key)) {
                wanted.add(change.puts().get(key));
            }
        }
        return CatalogueDiff.between(inForce, wanted).differences();
    }

    private static ChangeVerdict applyTo(StoredCatalogue current, CatalogueChange change, EntryPlaces places) {
        Map<String, Entry> entries = new TreeMap<>(current.catalogue().entries());
        Findings findings = new Findings();
        for (String key : change.deletes()) {
            if (entries.remove(key) == null) {
                findings.add(
                        Message.CATALOGUE_DELETE_ABSENT,
                        places.place(key, ""),
                        current.catalogue().version());
            }
        }
        entries.putAll(change.puts());
        CatalogueDiff diff = CatalogueDiff.between(current.catalogue().entries().values(), entries.values());
        if (diff.isEmpty() && !findings.hasErrors()) {
            return new ChangeVerdict.NothingToDo(current.catalogue().version());
        }
        Catalogue next = new Catalogue(current.catalogue().version() + 1, change.changeId(), entries);
        Set<String> touched = new HashSet<>();
        diff.differences().forEach(difference -> touched.add(difference.key()));
        StoredCatalogue stored = current.with(next, touched);
        CatalogueChecker.check(entries.values(), places, findings);
        checkSize(stored, places, findings);
        if (findings.hasErrors()) {
            return new ChangeVerdict.Invalid(findings);
        }
        Invariants.check(
                next.version() == current.catalogue().version() + 1
                        && stored.find(change.changeId()).isPresent(),
                "catalogue-version-grows-by-one",
                () -> current.catalogue().version() + " to " + next.version());
        return new ChangeVerdict.Applicable(stored);
    }

    private static void checkSize(StoredCatalogue stored, EntryPlaces places, Findings findings) {
        int bytes = StoredCatalogueCodec.encode(stored).length;
        if (bytes > CatalogueCodec.MAX_VALUE_BYTES && !findings.hasErrors()) {
            findings.add(
                    Message.CATALOGUE_TOO_LARGE,
                    places.place(StoredCatalogue.KEY, ""),
                    bytes,
                    CatalogueCodec.MAX_VALUE_BYTES);
        }
    }
}
