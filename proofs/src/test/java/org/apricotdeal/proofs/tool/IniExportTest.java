package org.apricotdeal.proofs.tool;

import java.util.List;

import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.catalogue.ini.IniCatalogueWriter;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.proofs.golden.GoldenFiles;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Checks that an exported catalogue reads back as it was, names with dots and values with comment signs included. */
public final class IniExportTest {
    @Test
    public void exportReadsBackEqual() {
        Findings findings = new Findings();
        IniCatalogue read = IniCatalogue.read(GoldenFiles.resources("tool").resolve("base.ini"), findings);
        Catalogue catalogue = Catalogue.of(7, "test", read.entries());
        IniCatalogue again = IniCatalogue.parse("again.ini", IniCatalogueWriter.write(catalogue), findings);
        assertEquals(findings.toString(), "");
        assertEquals(Catalogue.of(7, "test", again.entries()), catalogue);
        assertEquals(again.baseVersion().orElseThrow(), 7);
        assertEquals(List.copyOf(again.entries()).size(), 4);
    }
}
