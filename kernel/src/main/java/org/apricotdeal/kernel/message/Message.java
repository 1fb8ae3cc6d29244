package org.apricotdeal.kernel.message;

/**
 * The messages that a process can log, report as findings or record in its timeline. Codes are stable; each package has a
 * block of one hundred.
 */
public enum Message {
    // 100: kernel and settings
    SETTING_UNKNOWN(101, Severity.ERROR, "unknown setting; known here: %s"),
    SETTING_MISSING(102, Severity.ERROR, "required setting is missing; expected %s"),
    SETTING_INVALID(103, Severity.ERROR, "found \"%s\", expected %s"),
    FILE_UNREADABLE(104, Severity.ERROR, "cannot be read: %s"),
    SETTING_REPEATED(105, Severity.ERROR, "is given more than once"),
    DUTY_FAILED(110, Severity.ERROR, "duty %s failed: %s"),
    RING_FULL(111, Severity.WARNING, "ring of duty %s is full; the event was refused"),

    // 200: catalogue
    CATALOGUE_ADOPTED(201, Severity.INFO, "catalogue version %s is in force, learned from %s"),
    CATALOGUE_REFUSED(202, Severity.WARNING, "catalogue version %s refused: version %s is in force"),
    CATALOGUE_SECTION_UNKNOWN(210, Severity.ERROR, "found section \"%s\", expected %s"),
    CATALOGUE_VALUE_INVALID(211, Severity.ERROR, "found \"%s\", expected %s"),
    CATALOGUE_REFERENCE_UNKNOWN(212, Severity.ERROR, "found \"%s\", expected the name of a %s entry; known: %s"),
    CATALOGUE_VALUE_SHARED(213, Severity.ERROR, "found \"%s\", which %s has too; expected a value of its own"),
    CATALOGUE_FLOORS_TOO_LARGE(214, Severity.ERROR, "found floors that add up to %s, expected at most %s"),
    CATALOGUE_CLASS_MISSING(215, Severity.ERROR, "found no class entry, expected at least one"),
    CATALOGUE_TOO_LARGE(216, Severity.ERROR, "found %s bytes of JSON, expected at most %s"),
    CATALOGUE_UNREADABLE(217, Severity.ERROR, "the stored catalogue cannot be read: %s"),
    CATALOGUE_CHANGE_ID_REUSED(218, Severity.ERROR, "change id %s was accepted as version %s with other contents"),
    CATALOGUE_DELETE_ABSENT(219, Severity.ERROR, "found no such entry to delete in version %s"),

    // 300: membership
    VM_HEALTH(301, Severity.INFO, "VM %s is %s"),
    NODE_HEALTH(302, Severity.INFO, "node %s is %s"),
    NODE_RESUMED(303, Severity.WARNING, "node %s was not running for %s ms"),

    // 400: planning
    PLANNER_ELECTED(401, Severity.INFO, "node %s is the planner of failure domain %s"),
    PLANNER_YIELDED(402, Severity.WARNING, "node %s is no longer the planner: %s"),
    PLAN_COMMITTED(403, Severity.INFO, "plan version %s is committed: %s"),
    PLAN_CONFLICT(404, Severity.WARNING, "plan version %s was not committed: version %s is in force"),
    PLAN_ADOPTED(405, Severity.INFO, "plan version %s by %s is in force"),
    ORDER_FAILED(406, Severity.WARNING, "order to VM %s failed: %s"),

    // 500: claims

    // 600: admission, routing, limits, retries
    STRAGGLER_FOUND(
            601, Severity.WARNING, "target %s is slower than its peers, %s ms between tokens; it gets less work"),
    STRAGGLER_RECOVERED(602, Severity.INFO, "target %s is as fast as its peers again, %s ms between tokens"),

    // 700: platform
    PLATFORM_UNREACHABLE(701, Severity.WARNING, "platform is unreachable: %s"),
    PLATFORM_REACHABLE(702, Severity.INFO, "platform is reachable again after %s ms"),

    // 800: engines and streams

    // 900: node
    NODE_STARTED(901, Severity.INFO, "node %s serves on port %s after %s ms"),
    NODE_STOPPING(902, Severity.INFO, "node %s stops taking new work; %s requests in progress"),
    NODE_STOPPED(903, Severity.INFO, "node %s stopped; %s requests were cut off"),
    NODE_READY(904, Severity.INFO, "node %s is ready"),
    NODE_NOT_READY(905, Severity.WARNING, "node %s is not ready: %s");

    private final int code;
    private final Severity severity;
    private final String template;

    Message(int code, Severity severity, String template) {
        this.code = code;
        this.severity = severity;
        this.template = template;
    }

    /**
     * Returns the stable code.
     *
     * @return the code, unique among all messages
     */
    public int code() {
        return code;
    }

    /**
     * Returns the message's severity.
     *
     * @return the severity
     */
    public Severity severity() {
        return severity;
    }

    /**
     * Formats the message's text.
     *
     * @param arguments one value for each placeholder of the template
     * @return the text
     */
    public String format(Object... arguments) {
        return String.format(java.util.Locale.ROOT, template, arguments);
    }
}
