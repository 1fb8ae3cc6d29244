package org.apricotdeal.catalogue.check;

import java.math.BigDecimal;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;

/** The fields of an entry as texts, named and written as in an INI catalogue. */
public final class EntryFields {
    /** Field whose value is shown to nobody. */
    public static final String CREDENTIAL_FIELD = "orderCredential";

    private EntryFields() {}

    /**
     * Returns the fields of an entry.
     *
     * @param entry the entry
     * @return texts by field, in the order of the record's components
     */
    public static Map<String, String> of(Entry entry) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("owner", entry.owner());
        switch (entry) {
            case ClassEntry c -> putClass(fields, c);
            case CallerEntry c -> putCaller(fields, c);
            case ModelEntry m -> putModel(fields, m);
            case ServiceEntry s -> putService(fields, s);
            case PolicyEntry p -> putPolicy(fields, p);
        }
        return fields;
    }

    /**
     * Returns the fields of an entry as people may see them: a credential is replaced by a remark that it is set.
     *
     * @param entry the entry
     * @return texts by field, in the order of the record's components
     */
    public static Map<String, String> shown(Entry entry) {
        Map<String, String> fields = of(entry);
        fields.computeIfPresent(CREDENTIAL_FIELD, (field, value) -> value.isEmpty() ? "" : "(set)");
        return fields;
    }

    /**
     * Returns the kind of an entry.
     *
     * @param entry the entry
     * @return the first word of its key, such as {@code caller}
     */
    public static String kind(Entry entry) {
        String key = entry.key();
        int space = key.indexOf(' ');
        return space < 0 ? key : key.substring(0, space);
    }

    private static void putClass(Map<String, String> fields, ClassEntry entry) {
        fields.put("priority", number(entry.priority()));
        fields.put("floorShare", number(entry.floorShare()));
        fields.put("firstTokenTargetMillis", number(entry.firstTokenTargetMillis()));
        fields.put("deadlineMillis", number(entry.deadlineMillis()));
        fields.put("preemptible", String.valueOf(entry.preemptible()));
        fields.put("maxQueued", number(entry.maxQueued()));
    }

    private static void putCaller(Map<String, String> fields, CallerEntry entry) {
        fields.put("keySha256", entry.keySha256());
        fields.put("weight", number(entry.weight()));
        fields.put("classes", list(entry.classes()));
        fields.put("upstreams", list(entry.upstreams()));
        fields.put("tokensPerSecond", number(entry.tokensPerSecond()));
        fields.put("requestsPerSecond", number(entry.requestsPerSecond()));
        fields.put("maxInFlight", number(entry.maxInFlight()));
    }

    private static void putModel(Map<String, String> fields, ModelEntry entry) {
        fields.put("vmsPerReplica", number(entry.vmsPerReplica()));
        fields.put("replicasPerFailureDomain", number(entry.replicasPerFailureDomain()));
        fields.put("maxStreamsPerReplica", number(entry.maxStreamsPerReplica()));
        fields.put("loadTimeoutMillis", number(entry.loadTimeoutMillis()));
        fields.put("orderCheck", word(entry.orderCheck()));
        fields.put("orderMaxDelayMillis", number(entry.orderMaxDelayMillis()));
        fields.put(CREDENTIAL_FIELD, entry.orderCredential());
        fields.put("worth", number(entry.worth()));
    }

    private static void putService(Map<String, String> fields, ServiceEntry entry) {
        fields.put("classId", entry.classId().value());
        fields.put("repeatablePaths", list(entry.repeatablePaths()));
        fields.put("maxInFlightPerVm", number(entry.maxInFlightPerVm()));
        fields.put("timeoutMillis", number(entry.timeoutMillis()));
        fields.put("claimRetentionMillis", number(entry.claimRetentionMillis()));
    }

    private static void putPolicy(Map<String, String> fields, PolicyEntry entry) {
        fields.put("callerWeighting", word(entry.callerWeighting()));
        fields.put("retryBudgetShare", number(entry.retryBudgetShare()));
        fields.put("suspectMillis", number(entry.suspectMillis()));
        fields.put("failMillis", number(entry.failMillis()));
        fields.put("stragglerRatio", number(entry.stragglerRatio()));
    }

    private static String list(List<?> values) {
        return values.stream().map(String::valueOf).collect(Collectors.joining(", "));
    }

    private static String number(long value) {
        return String.valueOf(value);
    }

    /**
     * Writes a number as an INI catalogue does.
     *
     * @param value the number
     * @return the shortest decimal text, without an exponent
     */
    static String number(double value) {
        return Double.isFinite(value)
                ? BigDecimal.valueOf(value).stripTrailingZeros().toPlainString()
                : String.valueOf(value);
    }

    private static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
