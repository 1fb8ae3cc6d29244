package org.apricotdeal.catalogue.check;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.misc.Names;

/**
 * Checks the entries of a whole catalogue against their bounds and against each other.
 *
 * <p>The reader of INI files checks one value at a time and replaces an invalid one by a valid one, so that reading goes
 * on; this class checks what can be seen only over several fields or entries, and checks the bounds again, for a
 * catalogue can come from the key-value service as well. Every check runs, whatever the others have found, and all
 * findings go into one report: operators mend a catalogue in one go rather than one fault at a time. A check that would
 * only repeat another's finding is left out: fields that could not be read are not checked again.
 */
public final class CatalogueChecker {
    /** Largest sum of the floors of all classes; the rest of an upstream's capacity goes by priority. */
    public static final double MAX_FLOOR_SUM = 0.9;

    private static final double ROUNDING = 1e-9;
    private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

    private final Map<String, Entry> entries = new HashMap<>();
    private final EntryPlaces places;
    private final Findings findings;

    private CatalogueChecker(Collection<? extends Entry> entries, EntryPlaces places, Findings findings) {
        this.places = places;
        this.findings = findings;
        for (Entry entry : entries) {
            this.entries.put(entry.key(), entry);
        }
    }

    /**
     * Checks entries.
     *
     * @param entries all entries of the catalogue
     * @param places tells where they stand
     * @param findings takes what is wrong
     */
    public static void check(Collection<? extends Entry> entries, EntryPlaces places, Findings findings) {
        CatalogueChecker checker = new CatalogueChecker(entries, places, findings);
        for (Entry entry : entries) {
            checker.checkEntry(entry);
        }
        List<ClassEntry> classes = checker.all(entries, ClassEntry.class);
        checker.checkClassesExist(classes);
        checker.checkPriorities(classes);
        checker.checkFloorSum(classes);
        checker.checkKeyHashes(checker.all(entries, CallerEntry.class));
        checker.checkUpstreamNames(checker.all(entries, ModelEntry.class));
        checker.checkSize(entries);
    }

    private <T extends Entry> List<T> all(Collection<? extends Entry> from, Class<T> type) {
        return from.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private void checkEntry(Entry entry) {
        checkBounds(entry);
        if (entry.owner().isBlank()) {
            add(Message.CATALOGUE_VALUE_INVALID, entry, "owner", "", "who may be asked about the entry");
        }
        switch (entry) {
            case ClassEntry c -> checkTargets(c);
            case CallerEntry c -> checkCaller(c);
            case ModelEntry m -> checkCredential(m);
            case ServiceEntry s -> checkService(s);
            case PolicyEntry p -> checkSilences(p);
        }
    }

    private void checkBounds(Entry entry) {
        Map<String, String> fields = EntryFields.of(entry);
        for (NumericField field : NumericField.of(EntryFields.kind(entry))) {
            String text = fields.get(field.field());
            if (!field.admits(Double.parseDouble(text))) {
                add(
                        Message.CATALOGUE_VALUE_INVALID,
                        entry,
                        field.field(),
                        text,
                        "a number from " + EntryFields.number(field.min()) + " to " + EntryFields.number(field.max()));
            }
        }
    }

    private void checkTargets(ClassEntry entry) {
        if (wasRead(entry, "deadlineMillis") && entry.firstTokenTargetMillis() > entry.deadlineMillis()) {
            add(
                    Message.CATALOGUE_VALUE_INVALID,
                    entry,
                    "firstTokenTargetMillis",
                    entry.firstTokenTargetMillis(),
                    "at most the entry's deadlineMillis, " + entry.deadlineMillis());
        }
    }

    private void checkCaller(CallerEntry entry) {
        if (!SHA256_HEX.matcher(entry.keySha256()).matches()) {
            add(
                    Message.CATALOGUE_VALUE_INVALID,
                    entry,
                    "keySha256",
                    entry.keySha256(),
                    "a SHA-256 as 64 lower-case hexadecimal digits");
        }
        if (entry.classes().isEmpty()) {
            add(Message.CATALOGUE_VALUE_INVALID, entry, "classes", "", "the name of at least one class");
        }
        if (entry.upstreams().isEmpty()) {
            add(Message.CATALOGUE_VALUE_INVALID, entry, "upstreams", "", "the name of at least one model or service");
        }
        entry.classes().forEach(id -> checkReference(entry, "classes", id.value(), "class"));
        entry.upstreams().forEach(id -> checkReference(entry, "upstreams", id.value(), "model", "service"));
    }

    private void checkCredential(ModelEntry entry) {
        if (!entry.orderCredential().isEmpty() && !Names.isValid(entry.orderCredential())) {
            add(
                    Message.CATALOGUE_VALUE_INVALID,
                    entry,
                    EntryFields.CREDENTIAL_FIELD,
                    "(not shown)",
                    "1 to " + Names.MAX_NAME_CHARS + " letters, digits, dots, dashes, underscores or colons");
        }
    }

    private void checkService(ServiceEntry entry) {
        checkReference(entry, "classId", entry.classId().value(), "class");
        for (String path : entry.repeatablePaths()) {
            if (!path.startsWith("/")) {
                add(Message.CATALOGUE_VALUE_INVALID, entry, "repeatablePaths", path, "a path that starts with /");
            }
        }
        if (wasRead(entry, "timeoutMillis") && entry.claimRetentionMillis() < entry.timeoutMillis()) {
            add(
                    Message.CATALOGUE_VALUE_INVALID,
                    entry,
                    "claimRetentionMillis",
                    entry.claimRetentionMillis(),
                    "at least the entry's timeoutMillis, " + entry.timeoutMillis());
        }
    }

    private void checkSilences(PolicyEntry entry) {
        if (wasRead(entry, "failMillis") && entry.suspectMillis() >= entry.failMillis()) {
            add(
                    Message.CATALOGUE_VALUE_INVALID,
                    entry,
                    "suspectMillis",
                    entry.suspectMillis(),
                    "less than the entry's failMillis, " + entry.failMillis());
        }
    }

    private void checkReference(Entry entry, String field, String name, String... kinds) {
        for (String kind : kinds) {
            if (entries.containsKey(kind + " " + name)) {
                return;
            }
        }
        add(Message.CATALOGUE_REFERENCE_UNKNOWN, entry, field, name, String.join(" or ", kinds), known(kinds));
    }

    private String known(String... kinds) {
        Set<String> names = new TreeSet<>();
        for (String key : entries.keySet()) {
            for (String kind : kinds) {
                if (key.startsWith(kind + " ")) {
                    names.add(key.substring(kind.length() + 1));
                }
            }
        }
        return names.isEmpty() ? "none" : String.join(", ", names);
    }

    private void checkClassesExist(List<ClassEntry> classes) {
        if (classes.isEmpty()) {
            findings.add(Message.CATALOGUE_CLASS_MISSING, places.place("class", ""));
        }
    }

    private void checkPriorities(List<ClassEntry> classes) {
        Map<Integer, ClassEntry> byPriority = new HashMap<>();
        for (ClassEntry entry : classes) {
            if (!wasRead(entry, "priority")) {
                continue;
            }
            ClassEntry other = byPriority.putIfAbsent(entry.priority(), entry);
            if (other != null) {
                add(Message.CATALOGUE_VALUE_SHARED, entry, "priority", entry.priority(), other.key());
            }
        }
    }

    private void checkFloorSum(List<ClassEntry> classes) {
        double sum = 0;
        for (ClassEntry entry : classes) {
            boolean wasWithin = sum <= MAX_FLOOR_SUM + ROUNDING;
            sum += entry.floorShare();
            if (wasWithin && sum > MAX_FLOOR_SUM + ROUNDING) {
                add(Message.CATALOGUE_FLOORS_TOO_LARGE, entry, "floorShare", round(sum), MAX_FLOOR_SUM);
            }
        }
    }

    private static double round(double value) {
        return Math.round(value * 1e6) / 1e6;
    }

    private void checkKeyHashes(List<CallerEntry> callers) {
        Map<String, CallerEntry> byHash = new HashMap<>();
        for (CallerEntry entry : callers) {
            CallerEntry other = byHash.putIfAbsent(entry.keySha256(), entry);
            if (other != null && SHA256_HEX.matcher(entry.keySha256()).matches()) {
                add(Message.CATALOGUE_VALUE_SHARED, entry, "keySha256", entry.keySha256(), other.key());
            }
        }
    }

    private void checkUpstreamNames(List<ModelEntry> models) {
        for (ModelEntry model : models) {
            String serviceKey = "service " + model.id();
            Entry service = entries.get(serviceKey);
            if (service != null) {
                add(Message.CATALOGUE_VALUE_SHARED, service, "", model.id(), model.key());
            }
        }
    }

    private void checkSize(Collection<? extends Entry> all) {
        int bytes = CatalogueCodec.encode(Catalogue.of(0, "check", all)).length;
        if (bytes > CatalogueCodec.MAX_VALUE_BYTES) {
            findings.add(
                    Message.CATALOGUE_TOO_LARGE, places.place("catalogue", ""), bytes, CatalogueCodec.MAX_VALUE_BYTES);
        }
    }

    private boolean wasRead(Entry entry, String field) {
        return places.wasRead(entry.key(), field);
    }

    private void add(Message message, Entry entry, String field, Object... arguments) {
        if (!wasRead(entry, field)) {
            return;
        }
        findings.add(message, places.place(entry.key(), field), arguments);
    }
}
