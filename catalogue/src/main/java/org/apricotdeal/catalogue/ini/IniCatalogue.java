package org.apricotdeal.catalogue.ini;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

import org.apricotdeal.catalogue.check.CatalogueChecker;
import org.apricotdeal.catalogue.check.EntryPlaces;
import org.apricotdeal.catalogue.check.NumericField;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.message.Finding;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.message.SourceLocation;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.SectionReader;

/**
 * A catalogue in an INI file. A section's name is the entry's key, such as {@code [caller alpenbau]}; its keys are the
 * components of the entry's record, unit suffix included. The optional section {@code [catalogue]} names in
 * {@code baseVersion} the version that the file was exported from, so that changes made since are not undone.
 */
public final class IniCatalogue implements EntryPlaces {
    /** Section about the file itself. */
    public static final String BASE_SECTION = "catalogue";

    /** Key of the version that the file was exported from. */
    public static final String BASE_VERSION_KEY = "baseVersion";

    /** Fields of which the valid parts are read where others are invalid. */
    private static final Set<String> LISTS = Set.of("classes", "upstreams");

    private static final String KINDS = "class NAME, caller NAME, model NAME, service NAME, policy or " + BASE_SECTION;

    private final IniFile file;
    private final Findings findings;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, SectionReader> readers = new HashMap<>();
    private final Set<String> unread = new HashSet<>();
    private OptionalLong baseVersion = OptionalLong.empty();

    private IniCatalogue(IniFile file, Findings findings) {
        this.file = file;
        this.findings = findings;
    }

    /**
     * Reads a file. Entries are checked one by one; {@link #checkWhole(Findings)} checks them against each other.
     *
     * @param path the file
     * @param findings takes what is wrong, with file, line and key
     * @return the entries that could be read
     */
    public static IniCatalogue read(Path path, Findings findings) {
        return of(IniFile.read(path, findings), findings);
    }

    /**
     * Reads a text. Entries are checked one by one; {@link #checkWhole(Findings)} checks them against each other.
     *
     * @param name name of the text in findings
     * @param text the INI text
     * @param findings takes what is wrong, with file, line and key
     * @return the entries that could be read
     */
    public static IniCatalogue parse(String name, String text, Findings findings) {
        return of(IniFile.parse(name, text, findings), findings);
    }

    private static IniCatalogue of(IniFile file, Findings findings) {
        IniCatalogue catalogue = new IniCatalogue(file, findings);
        file.sections().forEach(catalogue::readSection);
        catalogue.noteUnread();
        return catalogue;
    }

    /**
     * Returns the entries.
     *
     * @return the entries in the order of the file
     */
    public List<Entry> entries() {
        return new ArrayList<>(entries.values());
    }

    /**
     * Returns the version that the file was exported from.
     *
     * @return the version, or nothing where the file names none
     */
    public OptionalLong baseVersion() {
        return baseVersion;
    }

    /**
     * Checks the entries against each other, as a catalogue of their own.
     *
     * @param into takes what is wrong
     */
    public void checkWhole(Findings into) {
        CatalogueChecker.check(entries.values(), this, into);
    }

    @Override
    public SourceLocation place(String entryKey, String field) {
        SectionReader reader = readers.get(entryKey);
        if (reader == null) {
            return new SourceLocation(file.name(), 0, 0, field.isEmpty() ? entryKey : entryKey + "/" + field);
        }
        SourceLocation place = reader.locationOf(field);
        return field.isEmpty() || place.key().contains("/")
                ? place
                : new SourceLocation(place.file(), place.line(), 0, entryKey + "/" + field);
    }

    @Override
    public boolean wasRead(String entryKey, String field) {
        return !unread.contains(entryKey + "/" + field);
    }

    private void noteUnread() {
        for (Finding finding : findings.all()) {
            boolean isUnread = finding.message() == Message.SETTING_MISSING
                    || (finding.message() == Message.SETTING_INVALID && !LISTS.contains(lastPart(finding.location())));
            if (isUnread) {
                unread.add(finding.location().key());
            }
        }
    }

    private static String lastPart(SourceLocation place) {
        return place.key().substring(place.key().lastIndexOf('/') + 1);
    }

    private void readSection(IniSection section) {
        boolean isNamed =
                switch (section.kind()) {
                    case "class", "caller", "model", "service" -> true;
                    default -> false;
                };
        if (isNamed ? !Names.isValid(section.subject()) : !section.subject().isEmpty()) {
            findings.add(Message.CATALOGUE_SECTION_UNKNOWN, section.location(), section.name(), KINDS);
            return;
        }
        SectionReader reader = new SectionReader(section, findings);
        switch (section.kind()) {
            case "class" -> put(readClass(section.subject(), reader), reader);
            case "caller" -> put(readCaller(section.subject(), reader), reader);
            case "model" -> put(readModel(section.subject(), reader), reader);
            case "service" -> put(readService(section.subject(), reader), reader);
            case "policy" -> put(readPolicy(reader), reader);
            case BASE_SECTION ->
                baseVersion = OptionalLong.of(reader.integer(BASE_VERSION_KEY, null, 0, Long.MAX_VALUE));
            default -> {
                findings.add(Message.CATALOGUE_SECTION_UNKNOWN, section.location(), section.name(), KINDS);
                return;
            }
        }
        reader.reportUnknown();
    }

    private void put(Entry entry, SectionReader reader) {
        entries.put(entry.key(), entry);
        readers.put(entry.key(), reader);
    }

    private static ClassEntry readClass(String name, SectionReader reader) {
        return new ClassEntry(
                new ClassId(name),
                owner(reader),
                (int) whole(reader, NumericField.CLASS_PRIORITY),
                decimal(reader, NumericField.CLASS_FLOOR_SHARE),
                whole(reader, NumericField.CLASS_FIRST_TOKEN_TARGET),
                whole(reader, NumericField.CLASS_DEADLINE),
                reader.bool("preemptible", false),
                (int) whole(reader, NumericField.CLASS_MAX_QUEUED));
    }

    private static CallerEntry readCaller(String name, SectionReader reader) {
        return new CallerEntry(
                new CallerId(name),
                owner(reader),
                reader.text("keySha256", null),
                decimal(reader, NumericField.CALLER_WEIGHT),
                reader.names("classes", null).stream().map(ClassId::new).toList(),
                reader.names("upstreams", null).stream().map(UpstreamId::new).toList(),
                decimal(reader, NumericField.CALLER_TOKENS),
                decimal(reader, NumericField.CALLER_REQUESTS),
                (int) whole(reader, NumericField.CALLER_MAX_IN_FLIGHT));
    }

    private static ModelEntry readModel(String name, SectionReader reader) {
        return new ModelEntry(
                new UpstreamId(name),
                owner(reader),
                (int) whole(reader, NumericField.MODEL_VMS),
                (int) whole(reader, NumericField.MODEL_REPLICAS),
                (int) whole(reader, NumericField.MODEL_STREAMS),
                whole(reader, NumericField.MODEL_LOAD_TIMEOUT),
                reader.enumValue("orderCheck", OrderCheck.IGNORES_FENCING, OrderCheck.class),
                whole(reader, NumericField.MODEL_ORDER_MAX_DELAY),
                reader.text("orderCredential", ""),
                decimal(reader, NumericField.MODEL_WORTH));
    }

    private static ServiceEntry readService(String name, SectionReader reader) {
        return new ServiceEntry(
                new UpstreamId(name),
                owner(reader),
                new ClassId(reader.name("classId", null)),
                paths(reader.text("repeatablePaths", "")),
                (int) whole(reader, NumericField.SERVICE_IN_FLIGHT),
                whole(reader, NumericField.SERVICE_TIMEOUT),
                whole(reader, NumericField.SERVICE_CLAIM_RETENTION));
    }

    private static PolicyEntry readPolicy(SectionReader reader) {
        return new PolicyEntry(
                owner(reader),
                reader.enumValue("callerWeighting", CallerWeighting.WEIGHTED, CallerWeighting.class),
                decimal(reader, NumericField.POLICY_RETRY_BUDGET),
                whole(reader, NumericField.POLICY_SUSPECT),
                whole(reader, NumericField.POLICY_FAIL),
                decimal(reader, NumericField.POLICY_STRAGGLER_RATIO));
    }

    private static String owner(SectionReader reader) {
        return reader.text("owner", null);
    }

    private static long whole(SectionReader reader, NumericField field) {
        OptionalDouble fallback = field.fallback();
        return reader.integer(
                field.field(),
                fallback.isPresent() ? Long.valueOf((long) fallback.getAsDouble()) : null,
                (long) field.min(),
                (long) field.max());
    }

    private static double decimal(SectionReader reader, NumericField field) {
        OptionalDouble fallback = field.fallback();
        return reader.decimal(
                field.field(),
                fallback.isPresent() ? Double.valueOf(fallback.getAsDouble()) : null,
                field.min(),
                field.max());
    }

    private static List<String> paths(String text) {
        List<String> paths = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            if (!part.isBlank()) {
                paths.add(part.trim());
            }
        }
        return paths;
    }
}
