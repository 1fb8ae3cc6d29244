package org.apricotdeal.proofs;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads descriptor files of cases: one case a line, its fields separated by bars; # begins a remark. */
public final class Cases {
    private Cases() {}

    /**
     * Reads a descriptor file.
     *
     * @param resource absolute name of the resource
     * @return the fields of each case
     * @throws IOException where it cannot be read
     */
    public static Object[][] read(String resource) throws IOException {
        List<Object[]> cases = new ArrayList<>();
        try (BufferedReader lines = new BufferedReader(
                new InputStreamReader(Cases.class.getResourceAsStream(resource), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (!line.isBlank() && !line.startsWith("#")) {
                    cases.add(List.of(line.split("\\s*\\|\\s*", -1)).toArray());
                }
            }
        }
        return cases.toArray(Object[][]::new);
    }
}
