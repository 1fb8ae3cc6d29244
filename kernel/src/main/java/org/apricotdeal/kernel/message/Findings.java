package org.apricotdeal.kernel.message;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Collects findings so that all of them can be reported together. */
public final class Findings {
    private final List<Finding> all = new ArrayList<>();

    /**
     * Adds a finding.
     *
     * @param message the message
     * @param location where the problem was found
     * @param arguments values for the message's template
     */
    public void add(Message message, SourceLocation location, Object... arguments) {
        all.add(new Finding(message, location, message.format(arguments)));
    }

    /**
     * Adds all findings of another collection.
     *
     * @param other the other collection
     */
    public void addAll(Findings other) {
        all.addAll(other.all);
    }

    /**
     * Returns all findings in the order in which they were added.
     *
     * @return an unmodifiable copy
     */
    public List<Finding> all() {
        return List.copyOf(all);
    }

    /**
     * Returns whether any finding is an error.
     *
     * @return true if at least one finding has the severity {@link Severity#ERROR}
     */
    public boolean hasErrors() {
        return all.stream().anyMatch(f -> f.message().severity() == Severity.ERROR);
    }

    @Override
    public String toString() {
        return all.stream().map(Finding::toString).collect(Collectors.joining("\n"));
    }
}
