package org.apricotdeal.node.caller;

import java.util.Map;
import java.util.Optional;

import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.result.Result;
import org.eclipse.jetty.http.HttpFields;

/**
 * The part of a request that completions and service calls share.
 *
 * @param id id of the request
 * @param caller the authenticated caller
 * @param workClass the request's class
 * @param upstream the requested upstream
 * @param receivedAtMillis monotonic time at which the request was received
 * @param deadlineAtMillis monotonic time after which the caller no longer needs an answer
 * @param forwarded whether another node has forwarded the request
 */
public record RequestContext(
        RequestId id,
        CallerEntry caller,
        ClassEntry workClass,
        UpstreamId upstream,
        long receivedAtMillis,
        long deadlineAtMillis,
        boolean forwarded) {
    /** Header of a forwarded request that contains the id of its caller. */
    static final String CALLER_HEADER = "apricotdeal-caller";

    static final String CLASS_HEADER = "apricotdeal-class";
    static final String DEADLINE_HEADER = "apricotdeal-deadline-ms";
    private static final long MAX_DEADLINE_MILLIS = 86_400_000;

    /**
     * Returns the headers to add when the request is forwarded to another node.
     *
     * @param nowMillis current monotonic time
     * @return headers with the caller, the class and the remaining time until the deadline
     */
    public Map<String, String> forwardHeaders(long nowMillis) {
        return Map.of(
                CALLER_HEADER, caller.id().value(),
                CLASS_HEADER, workClass.id().value(),
                DEADLINE_HEADER, Long.toString(Math.max(1, deadlineAtMillis - nowMillis)));
    }

    static Result<ClassEntry, Failure> workClass(
            HttpFields headers, Catalogue catalogue, CallerEntry caller, ClassId defaultClass) {
        String classHeader = headers.get(CLASS_HEADER);
        if (classHeader != null && !Names.isValid(classHeader)) {
            return FailedCheck.badRequest(CLASS_HEADER + ": expected the name of a class");
        }
        ClassId id = classHeader == null ? defaultClass : new ClassId(classHeader);
        if (!caller.classes().contains(id)) {
            return FailedCheck.forbidden("caller " + caller.id() + " may not use class " + id);
        }
        Optional<ClassEntry> entry = catalogue.find("class " + id, ClassEntry.class);
        if (entry.isEmpty()) {
            return FailedCheck.notFound("class " + id + " is not in the catalogue");
        }
        return Result.ok(entry.get());
    }

    static Result<Long, Failure> deadlineMillis(HttpFields headers, ClassEntry workClass) {
        String deadlineHeader = headers.get(DEADLINE_HEADER);
        if (deadlineHeader == null) {
            return Result.ok(workClass.deadlineMillis());
        }
        try {
            long millis = Long.parseLong(deadlineHeader);
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return Result.ok(millis);
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of range.
        }
        return FailedCheck.badRequest(DEADLINE_HEADER + ": expected 1 to " + MAX_DEADLINE_MILLIS);
    }
}
