package org.apricotdeal.proofs.catalogue;

import java.util.List;
import java.util.Set;

import org.apricotdeal.catalogue.change.CatalogueChange;
import org.apricotdeal.catalogue.change.ChangeRules;
import org.apricotdeal.catalogue.change.ChangeVerdict;
import org.apricotdeal.catalogue.change.StoredCatalogue;
import org.apricotdeal.catalogue.change.StoredCatalogueCodec;
import org.apricotdeal.catalogue.check.EntryPlaces;
import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.diff.EntryDifference;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.result.Result;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests what changes come to against a given catalogue. */
public final class CatalogueChangeTest {
    private static final EntryPlaces PLACES = EntryPlaces.of("test");

    private static StoredCatalogue accept(StoredCatalogue current, CatalogueChange change) {
        return switch (ChangeRules.decide(current, change, false, PLACES)) {
            case ChangeVerdict.Applicable(StoredCatalogue next) -> next;
            case ChangeVerdict other -> throw new AssertionError(other.toString());
        };
    }

    private static StoredCatalogue first() {
        return accept(
                StoredCatalogue.EMPTY,
                CatalogueChange.builder("first", 0)
                        .putAll(CatalogueFixtures.base("alpenbau", "moser"))
                        .build());
    }

    private static CatalogueChange weight(String changeId, long base, String caller, double weight) {
        return CatalogueChange.builder(changeId, base)
                .put(CatalogueFixtures.caller(caller, weight))
                .build();
    }

    @Test
    public void loserIsToldTheDifferingEntries() {
        StoredCatalogue second = accept(first(), weight("a", 1, "alpenbau", 2));
        ChangeVerdict verdict = ChangeRules.decide(second, weight("b", 1, "alpenbau", 3), true, PLACES);
        ChangeVerdict.Outdated outdated = (ChangeVerdict.Outdated) verdict;
        assertFalse(outdated.canRebase());
        EntryDifference.Changed changed =
                (EntryDifference.Changed) outdated.differing().getFirst();
        assertEquals(changed.fields().toString(), "[weight: 2 -> 3]");
    }

    @Test
    public void otherEntriesAreRebasedOnlyWhenAsked() {
        StoredCatalogue second = accept(first(), weight("a", 1, "alpenbau", 2));
        CatalogueChange change = weight("b", 1, "moser", 3);
        ChangeVerdict.Outdated outdated = (ChangeVerdict.Outdated) ChangeRules.decide(second, change, false, PLACES);
        assertTrue(outdated.canRebase());
        assertEquals(outdated.touched(), Set.of("caller alpenbau"));
        ChangeVerdict.Applicable rebased = (ChangeVerdict.Applicable) ChangeRules.decide(second, change, true, PLACES);
        assertEquals(rebased.next().catalogue().version(), 3);
        assertTrue(rebased.next().catalogue().entries().containsValue(CatalogueFixtures.caller("alpenbau", 2)));
    }

    @Test
    public void sameChangeOfTheSameEntryIsNoLoss() {
        StoredCatalogue second = accept(first(), weight("a", 1, "alpenbau", 2));
        ChangeVerdict verdict = ChangeRules.decide(second, weight("b", 1, "alpenbau", 2), true, PLACES);
        assertEquals(verdict, new ChangeVerdict.NothingToDo(2));
    }

    @Test
    public void deletionThatOthersMadeIsNoLossButAnUnknownNameIs() {
        StoredCatalogue second = accept(
                first(), CatalogueChange.builder("a", 1).delete("caller moser").build());
        CatalogueChange same =
                CatalogueChange.builder("b", 1).delete("caller moser").build();
        assertEquals(ChangeRules.decide(second, same, false, PLACES), new ChangeVerdict.NothingToDo(2));
        CatalogueChange other =
                CatalogueChange.builder("c", 1).delete("caller mosr").build();
        assertTrue(ChangeRules.decide(second, other, true, PLACES) instanceof ChangeVerdict.Invalid);
    }

    @Test
    public void retryIsRecognisedAfterAnotherChange() {
        StoredCatalogue third = accept(accept(first(), weight("a", 1, "alpenbau", 2)), weight("b", 2, "alpenbau", 5));
        ChangeVerdict verdict = ChangeRules.decide(third, weight("a", 1, "alpenbau", 2), false, PLACES);
        assertEquals(verdict, new ChangeVerdict.AlreadyAccepted(2));
    }

    @Test
    public void changeIdUsedForOtherContentsIsRefused() {
        StoredCatalogue second = accept(first(), weight("a", 1, "alpenbau", 2));
        ChangeVerdict.Invalid invalid =
                (ChangeVerdict.Invalid) ChangeRules.decide(second, weight("a", 2, "moser", 7), false, PLACES);
        assertEquals(invalid.findings().all().getFirst().message(), Message.CATALOGUE_CHANGE_ID_REUSED);
    }

    @Test
    public void recentChangesAreBoundedAndTooOldABaseIsRefused() {
        StoredCatalogue stored = first();
        for (int i = 1; i <= StoredCatalogue.MAX_RECENT_CHANGES + 1; i++) {
            stored = accept(stored, weight("change-" + i, i, "alpenbau", 1 + i % 7));
        }
        assertEquals(stored.recentChanges().size(), StoredCatalogue.MAX_RECENT_CHANGES);
        assertEquals(
                ChangeRules.decide(stored, weight("late", 1, "moser", 2), true, PLACES),
                new ChangeVerdict.BaseUnknown(1, stored.catalogue().version()));
        assertEquals(StoredCatalogueCodec.decode(StoredCatalogueCodec.encode(stored)), Result.ok(stored));
        assertEquals(CatalogueCodec.decode(StoredCatalogueCodec.encode(stored)), Result.ok(stored.catalogue()));
    }

    @Test
    public void baseAheadOfTheStoreIsRefused() {
        assertEquals(
                ChangeRules.decide(StoredCatalogue.EMPTY, weight("a", 57, "moser", 2), true, PLACES),
                new ChangeVerdict.BaseUnknown(57, 0));
    }

    @Test
    public void carriedOverChangeIsCheckedAgainstTheVersionInForce() {
        StoredCatalogue second = accept(
                first(),
                CatalogueChange.builder("drop", 1)
                        .delete("caller alpenbau")
                        .delete("caller moser")
                        .build());
        StoredCatalogue third = accept(second, weight("again", 2, "moser", 1));
        CatalogueChange change =
                CatalogueChange.builder("late", 2).delete("class urgent").build();
        ChangeVerdict.Invalid invalid = (ChangeVerdict.Invalid) ChangeRules.decide(third, change, true, PLACES);
        List<Message> messages = invalid.findings().all().stream()
                .map(finding -> finding.message())
                .toList();
        assertEquals(messages, List.of(Message.CATALOGUE_REFERENCE_UNKNOWN, Message.CATALOGUE_CLASS_MISSING));
    }

    @Test
    public void deletingAnAbsentEntryIsAFinding() {
        ChangeVerdict.Invalid invalid = (ChangeVerdict.Invalid) ChangeRules.decide(
                first(), CatalogueChange.builder("a", 1).delete("caller nobody").build(), false, PLACES);
        assertEquals(invalid.findings().all().getFirst().message(), Message.CATALOGUE_DELETE_ABSENT);
    }

    @Test
    public void catalogueAboveOneMegabyteIsRefused() {
        CatalogueChange.Builder change = CatalogueChange.builder("many", 1);
        for (int i = 0; i < 4_000; i++) {
            change.put(CatalogueFixtures.caller("caller-with-a-long-name-" + i, 1));
        }
        ChangeVerdict.Invalid invalid =
                (ChangeVerdict.Invalid) ChangeRules.decide(first(), change.build(), false, PLACES);
        assertEquals(invalid.findings().all().getFirst().message(), Message.CATALOGUE_TOO_LARGE);
    }

    @Test
    public void gapInRecentChangesIsNotReadAsHistory() {
        StoredCatalogue second = accept(first(), weight("a", 1, "alpenbau", 2));
        StoredCatalogue third = accept(second, weight("b", 2, "moser", 2));
        StoredCatalogue broken = new StoredCatalogue(
                third.catalogue(),
                List.of(third.recentChanges().get(0), third.recentChanges().get(2)));
        assertTrue(StoredCatalogueCodec.decode(StoredCatalogueCodec.encode(broken)) instanceof Result.Err);
    }
}
