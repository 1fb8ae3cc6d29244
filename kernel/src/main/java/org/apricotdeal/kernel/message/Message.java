package org.apricotdeal.kernel.message;

/**
 * Every message that a process can log, report as a finding or put on the time line. Codes are stable: one block of a
 * hundred for each package.
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
    ORDER_FAILED(406, Severity.WARNING, "order to %s failed: %s"),

    // 500: claims

    // 600: admission, routing, limits, retries

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
     * @return the code, unique among messages
     */
    public int code() {
        return code;
    }

    /**
     * Returns how serious the message is.
     *
     * @return the severity
     */
    public Severity severity() {
        return severity;
    }

    /**
     * Fills in the message's text.
     *
     * @param arguments one value for each place of the template
     * @return the text
     */
    public String format(Object... arguments) {
        return String.format(java.util.Locale.ROOT, template, arguments);
    }
}
