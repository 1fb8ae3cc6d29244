package org.apricotdeal.proofs.catalogue;

import java.nio.file.Path;
import java.util.List;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.diff.CatalogueDiff;
import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.result.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that the sample catalogues are valid and survive encoding. */
public final class SampleCatalogueTest {
    private static final Path SAMPLES = Path.of("../samples").toAbsolutePath();

    @DataProvider
    public Object[][] samples() {
        return new Object[][] {{"glasklar.ini"}, {"lanzafame.ini"}};
    }

    @Test(dataProvider = "samples")
    public void hasNoFindings(String name) {
        Findings findings = new Findings();
        IniCatalogue.read(SAMPLES.resolve(name), findings).checkWhole(findings);
        assertEquals(findings.toString(), "");
    }

    @Test(dataProvider = "samples")
    public void keyHashesBelongToTheDocumentedKeys(String name) {
        List<CallerEntry> callers = catalogue(name).all(CallerEntry.class);
        assertEquals(callers.size(), 10);
        for (CallerEntry caller : callers) {
            assertEquals(caller.keySha256(), CatalogueCodec.keyHash("sample-key-" + caller.id()), caller.key());
        }
    }

    @Test(dataProvider = "samples")
    public void survivesEncoding(String name) {
        Catalogue catalogue = catalogue(name);
        byte[] json = CatalogueCodec.encode(catalogue);
        Result<Catalogue, String> decoded = CatalogueCodec.decode(json);
        assertEquals(decoded, Result.ok(catalogue));
        Catalogue reversed = Catalogue.of(
                catalogue.version(),
                catalogue.changeId(),
                List.copyOf(catalogue.entries().values()).reversed());
        assertEquals(CatalogueCodec.digest(reversed), CatalogueCodec.digest(catalogue));
        for (Entry entry : catalogue.entries().values()) {
            assertEquals(CatalogueCodec.decodeEntry(CatalogueCodec.encodeEntry(entry)), Result.ok(entry));
        }
        assertTrue(CatalogueDiff.between(
                        catalogue.entries().values(), reversed.entries().values())
                .isEmpty());
    }

    private static Catalogue catalogue(String name) {
        Findings findings = new Findings();
        IniCatalogue ini = IniCatalogue.read(SAMPLES.resolve(name), findings);
        return Catalogue.of(3, "test", ini.entries());
    }
}
