package org.apricotdeal.lab.load;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.SectionReader;

/** Reads a load plan: sections {@code load}, {@code completions NAME}, {@code bookings NAME} and {@code fault NAME}. */
public final class LoadReader {
    private static final long MAX_MILLIS = 86_400_000;
    private static final long MAX_SEED = 1_000_000_000_000L;

    private LoadReader() {}

    /**
     * Reads a plan.
     *
     * @param file the INI file
     * @param findings takes all that is wrong
     * @return the plan; not to be used where the findings have errors
     */
    public static LoadPlan read(IniFile file, Findings findings) {
        List<Work> works = new ArrayList<>();
        List<LoadFault> faults = new ArrayList<>();
        SectionReader load = new SectionReader(file.section("load"), findings);
        for (IniSection section : file.sections()) {
            SectionReader reader = new SectionReader(section, findings);
            switch (section.kind()) {
                case "load" -> {
                    continue;
                }
                case "completions" -> works.add(completions(section, reader));
                case "bookings" -> works.add(bookings(section, reader));
                case "fault" -> faults.add(fault(reader));
                default -> {
                    findings.add(
                            Message.SETTING_UNKNOWN,
                            section.location(),
                            "load, completions NAME, bookings NAME, fault NAME");
                    continue;
                }
            }
            reader.reportUnknown();
        }
        LoadPlan plan = new LoadPlan(
                load.name("name", "load"),
                load.integer("seed", 1L, 0, MAX_SEED),
                load.integer("durationMillis", null, 1, MAX_MILLIS),
                load.integer("drainMillis", 10_000L, 0, MAX_MILLIS),
                load.names("nodes", List.of()),
                load.names("direct", List.of()),
                load.names("services", List.of()),
                works,
                faults);
        load.reportUnknown();
        return plan;
    }

    private static Work completions(IniSection section, SectionReader reader) {
        return new Work.Completions(
                common(section, reader),
                (int) reader.integer("promptChars", 400L, 1, 1_000_000),
                (int) reader.integer("prefixes", 8L, 1, 1_000_000),
                (int) reader.integer("maxTokens", 64L, 1, 100_000));
    }

    private static Work bookings(IniSection section, SectionReader reader) {
        return new Work.Bookings(common(section, reader), reader.text("path", "/bookings"));
    }

    private static Work.Common common(IniSection section, SectionReader reader) {
        return new Work.Common(
                section.subject(),
                reader.name("caller", null),
                reader.name("key", null),
                reader.name("class", null),
                reader.name("upstream", null),
                reader.decimal("requestsPerSecond", null, 0.001, 1_000_000.0),
                reader.integer("inTimeMillis", null, 1, MAX_MILLIS),
                reader.integer("deadlineMillis", null, 1, MAX_MILLIS));
    }

    private static LoadFault fault(SectionReader reader) {
        return new LoadFault(
                reader.integer("atMillis", null, 0, MAX_MILLIS),
                reader.name("address", null),
                reader.text("body", null));
    }
}
