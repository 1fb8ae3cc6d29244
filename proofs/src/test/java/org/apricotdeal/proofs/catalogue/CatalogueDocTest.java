package org.apricotdeal.proofs.catalogue;

import java.io.IOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.apricotdeal.catalogue.check.NumericField;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Checks that the operators' page gives the bounds and defaults that the program has. */
public final class CatalogueDocTest {
    private static final Path PAGE = Path.of("../docs/CATALOGUE.md");

    @DataProvider
    public Object[][] fields() {
        return java.util.Arrays.stream(NumericField.values())
                .map(field -> new Object[] {field})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "fields")
    public void pageGivesBoundsAndDefault(NumericField field) throws IOException {
        String bounds = text(field.min()) + " to " + text(field.max());
        String fallback = field.fallback().isPresent() ? text(field.fallback().getAsDouble()) : "required";
        String[] cells = row(field).split("\\|", -1);
        assertEquals(cells[3].trim() + ", " + cells[4].trim(), bounds + ", " + fallback, field.name());
    }

    private static String row(NumericField field) throws IOException {
        boolean isInSection = false;
        List<String> lines = Files.readAllLines(PAGE);
        for (String line : lines) {
            if (line.startsWith("## ")) {
                isInSection = line.startsWith("## `[" + field.kind());
            } else if (isInSection && line.startsWith("| `" + field.field() + "` |")) {
                return line;
            }
        }
        throw new AssertionError("docs/CATALOGUE.md lacks " + field.kind() + "/" + field.field());
    }

    private static String text(double value) {
        return BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }
}
