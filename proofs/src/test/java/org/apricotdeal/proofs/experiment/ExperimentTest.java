package org.apricotdeal.proofs.experiment;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.IniValue;
import org.apricotdeal.lab.experiment.ExperimentCommand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Runs experiments and holds their measures against the bounds of {@code experiment/targets.ini}. */
public final class ExperimentTest {
    private static final Path EXPERIMENTS = Path.of("..", "lab", "src", "main", "experiments");
    private static final Path TARGETS = Path.of("src", "test", "resources", "experiment", "targets.ini");

    private static PrintStream stream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    @DataProvider
    public Object[][] experiments() {
        Findings findings = new Findings();
        List<IniSection> sections = IniFile.read(TARGETS, findings).sections();
        assertTrue(findings.all().isEmpty(), findings.toString());
        Object[][] rows = new Object[sections.size()][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {sections.get(i)};
        }
        return rows;
    }

    @Test(dataProvider = "experiments")
    public void keepsToItsBounds(IniSection expected) throws IOException {
        Map<String, Double> measured = run(expected.name(), "1-2");
        List<String> misses = new ArrayList<>();
        for (Map.Entry<String, IniValue> bound : expected.values().entrySet()) {
            String[] ends = bound.getValue().text().split("\\.\\.", 2);
            double value = measured.get(bound.getKey());
            if (value < Double.parseDouble(ends[0]) || value > Double.parseDouble(ends[1])) {
                misses.add(bound.getValue().location() + ": measured " + value + ", expected "
                        + bound.getValue().text());
            }
        }
        assertEquals(misses, List.of());
    }

    @Test
    public void aRunIsAFunctionOfItsSeed() throws IOException {
        assertEquals(run("glasklar-vm-lost", "7"), run("glasklar-vm-lost", "7"));
    }

    @Test
    public void reportsAllFindingsOfAFileTogether() throws IOException {
        Path directory = Files.createTempDirectory("experiment");
        Files.copy(EXPERIMENTS.resolve("deployment-glasklar.ini"), directory.resolve("deployment.ini"));
        Path file = directory.resolve("wrong.ini");
        Files.writeString(file, """
                [experiment]
                deployment = deployment.ini
                name = wrong
                reportLagMillis = soon

                [flood drafts]
                capacityShare = 3
                fromSeconds = 1

                [fault x]
                kind = earthquake
                failureDomain = at-east-a
                atSeconds = 1
                forSeconds = 1
                colour = red
                """);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int exit = new ExperimentCommand(stream(out)).run(List.of(file.toString()));
        String text = out.toString(StandardCharsets.UTF_8);
        assertEquals(exit, 65, text);
        assertTrue(text.contains("wrong.ini:4: experiment/reportLagMillis"), text);
        assertTrue(text.contains("flood drafts/forSeconds"), text);
        assertTrue(text.contains("wrong.ini:11: fault x/kind"), text);
        assertTrue(text.contains("wrong.ini:15: fault x/colour"), text);
    }

    private static Map<String, Double> run(String name, String seeds) throws IOException {
        Path directory = Files.createTempDirectory("experiment");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String file = EXPERIMENTS.resolve(name + ".ini").toString();
        int exit =
                new ExperimentCommand(stream(out)).run(List.of(file, "--seeds", seeds, "--out", directory.toString()));
        assertEquals(exit, 0, out.toString(StandardCharsets.UTF_8));
        List<String> lines = Files.readAllLines(directory.resolve(name + ".csv"));
        String[] columns = lines.get(0).split(",", -1);
        String[] values = lines.get(1).split(",", -1);
        Map<String, Double> measured = new HashMap<>();
        for (int i = 1; i < columns.length; i++) {
            measured.put(columns[i], values[i].equals("-") ? 0.0 : Double.parseDouble(values[i]));
        }
        return measured;
    }
}
