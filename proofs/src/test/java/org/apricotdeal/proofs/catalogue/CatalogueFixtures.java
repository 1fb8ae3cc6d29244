package org.apricotdeal.proofs.catalogue;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;

/** Small valid entries for tests. */
final class CatalogueFixtures {
    private CatalogueFixtures() {}

    static CallerEntry caller(String name, double weight) {
        return new CallerEntry(
                new CallerId(name),
                "office",
                CatalogueCodec.keyHash("sample-key-" + name),
                weight,
                List.of(new ClassId("urgent")),
                List.of(new UpstreamId("quote")),
                600,
                6,
                20);
    }

    static List<Entry> base(String... callers) {
        List<Entry> entries = new ArrayList<>();
        entries.add(new ClassEntry(new ClassId("urgent"), "office", 0, 0.5, 760, 10_000, false, 400));
        entries.add(new ModelEntry(
                new UpstreamId("quote"), "fitters", 4, 5, 16, 60_000, OrderCheck.HONOURS_FENCING, 2_000, "", 1));
        for (String caller : callers) {
            entries.add(caller(caller, 1));
        }
        return entries;
    }
}
