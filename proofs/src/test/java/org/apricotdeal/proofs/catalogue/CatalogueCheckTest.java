package org.apricotdeal.proofs.catalogue;

import java.nio.file.Path;

import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.proofs.golden.GoldenFiles;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks INI catalogues against the findings that their descriptors expect. */
public final class CatalogueCheckTest {
    @DataProvider
    public Object[][] catalogues() {
        return GoldenFiles.descriptors("catalogue/check", ".ini");
    }

    @Test(dataProvider = "catalogues")
    public void reportsAllFindingsWithTheirPlace(Path ini) {
        Findings findings = new Findings();
        IniCatalogue catalogue = IniCatalogue.read(ini, findings);
        catalogue.checkWhole(findings);
        GoldenFiles.check(GoldenFiles.sibling(ini, ".ini", ".findings"), findings + "\n");
    }
}
