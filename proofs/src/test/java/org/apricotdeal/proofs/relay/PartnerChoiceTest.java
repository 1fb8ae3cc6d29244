package org.apricotdeal.proofs.relay;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.apricotdeal.relay.peer.PartnerChoice;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests to which nodes requests are handed over. */
public final class PartnerChoiceTest {
    private static final long NOW_MILLIS = 10_000;

    private final List<PartnerChoice.Candidate> candidates = List.of(
            candidate("a1", true, NOW_MILLIS),
            candidate("a2", true, NOW_MILLIS),
            candidate("silent", true, NOW_MILLIS - 1_500),
            candidate("b1", false, NOW_MILLIS));

    private static PartnerChoice.Candidate candidate(String name, boolean sameDomain, long heardMillis) {
        return new PartnerChoice.Candidate(name, "127.0.0.1:1", sameDomain, heardMillis);
    }

    @Test
    public void requestsGoInTurnToNodesOfTheFailureDomainThatAreHeardAndReached() {
        PartnerChoice choice = new PartnerChoice();
        assertEquals(chosen(choice, NOW_MILLIS), Set.of("a1", "a2"));
        choice.avoid("a1", NOW_MILLIS);
        assertEquals(chosen(choice, NOW_MILLIS), Set.of("a2"));
        choice.avoid("a2", NOW_MILLIS);
        assertEquals(chosen(choice, NOW_MILLIS), Set.of("b1"));
        choice.avoid("b1", NOW_MILLIS);
        assertEquals(chosen(choice, NOW_MILLIS), Set.of());
        assertEquals(chosen(choice, NOW_MILLIS + 999), Set.of());
    }

    private Set<String> chosen(PartnerChoice choice, long nowMillis) {
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < 4; i++) {
            choice.choose(candidates, nowMillis).ifPresent(partner -> names.add(partner.name()));
        }
        return names;
    }
}
