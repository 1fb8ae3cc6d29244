package org.apricotdeal.catalogue.check;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/** The numeric fields of the entries, with bounds and defaults; the unit is the suffix of the field's name. */
public enum NumericField {
    CLASS_PRIORITY("class", "priority", 0, 99),
    CLASS_FLOOR_SHARE("class", "floorShare", 0, Limits.MAX_FLOOR_SHARE, 0),
    CLASS_FIRST_TOKEN_TARGET("class", "firstTokenTargetMillis", 1, Limits.DAY_MILLIS),
    CLASS_DEADLINE("class", "deadlineMillis", 1, Limits.DAY_MILLIS),
    CLASS_MAX_QUEUED("class", "maxQueued", 1, 100_000, 1_000),

    CALLER_WEIGHT("caller", "weight", 0.001, 1_000, 1),
    CALLER_TOKENS("caller", "tokensPerSecond", 0, 10_000_000),
    CALLER_REQUESTS("caller", "requestsPerSecond", 0.01, 100_000),
    CALLER_MAX_IN_FLIGHT("caller", "maxInFlight", 1, 100_000),

    MODEL_VMS("model", "vmsPerReplica", 1, 64),
    MODEL_REPLICAS("model", "replicasPerFailureDomain", 0, 1_000),
    MODEL_STREAMS("model", "maxStreamsPerReplica", 1, 100_000, 64),
    MODEL_LOAD_TIMEOUT("model", "loadTimeoutMillis", 100, Limits.HOUR_MILLIS, 60_000),
    MODEL_ORDER_MAX_DELAY("model", "orderMaxDelayMillis", 1, 600_000, 2_000),
    MODEL_WORTH("model", "worth", 0, 1_000, 1),

    SERVICE_IN_FLIGHT("service", "maxInFlightPerVm", 1, 100_000, 16),
    SERVICE_TIMEOUT("service", "timeoutMillis", 10, 600_000, 10_000),
    SERVICE_CLAIM_RETENTION("service", "claimRetentionMillis", 1_000, 30 * Limits.DAY_MILLIS, Limits.DAY_MILLIS),

    POLICY_RETRY_BUDGET("policy", "retryBudgetShare", 0, 1, 0.1),
    POLICY_SUSPECT("policy", "suspectMillis", 50, 60_000, 1_000),
    POLICY_FAIL("policy", "failMillis", 100, 600_000, 3_000),
    POLICY_STRAGGLER_RATIO("policy", "stragglerRatio", 1.1, 100, 2);

    private final String kind;
    private final String field;
    private final double min;
    private final double max;
    private final OptionalDouble fallback;

    /** Limits that several fields share; an enum's constants cannot refer to constants of the enum itself. */
    static final class Limits {
        static final double MAX_FLOOR_SHARE = 0.9;
        static final double HOUR_MILLIS = 3_600_000;
        static final double DAY_MILLIS = 86_400_000;

        private Limits() {}
    }

    NumericField(String kind, String field, double min, double max) {
        this(kind, field, min, max, OptionalDouble.empty());
    }

    NumericField(String kind, String field, double min, double max, double fallback) {
        this(kind, field, min, max, OptionalDouble.of(fallback));
    }

    NumericField(String kind, String field, double min, double max, OptionalDouble fallback) {
        this.kind = kind;
        this.field = field;
        this.min = min;
        this.max = max;
        this.fallback = fallback;
    }

    /**
     * Returns the numeric fields of one kind of entry.
     *
     * @param kind the kind, such as {@code caller}
     * @return the fields in the order of their declaration
     */
    public static List<NumericField> of(String kind) {
        List<NumericField> found = new ArrayList<>();
        for (NumericField field : values()) {
            if (field.kind.equals(kind)) {
                found.add(field);
            }
        }
        return found;
    }

    /**
     * Returns the kind of entry that has the field.
     *
     * @return the kind, such as {@code caller}
     */
    public String kind() {
        return kind;
    }

    /**
     * Returns the field's name.
     *
     * @return the name, unit suffix included
     */
    public String field() {
        return field;
    }

    /**
     * Returns the smallest valid value.
     *
     * @return the value, in the field's unit
     */
    public double min() {
        return min;
    }

    /**
     * Returns the largest valid value.
     *
     * @return the value, in the field's unit
     */
    public double max() {
        return max;
    }

    /**
     * Returns the value that holds where a file does not give the field.
     *
     * @return the value in the field's unit, or nothing where the field is required
     */
    public OptionalDouble fallback() {
        return fallback;
    }

    /**
     * Tells whether a value is within the bounds.
     *
     * @param value the value, in the field's unit
     * @return true where it is; false for a value that is no number
     */
    public boolean admits(double value) {
        return value >= min && value <= max;
    }
}
