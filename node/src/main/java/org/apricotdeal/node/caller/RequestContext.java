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
 * Who asks for what, until when: the part of a request that all kinds of work share.
 *
 * @param id the request
 * @param caller the authenticated caller
 * @param workClass the class of the work
 * @param upstream the upstream asked for
 * @param receivedAtMillis monotonic time of receipt
 * @param deadlineAtMillis monotonic time after which an answer is of no use
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
    /** Header that names the caller of a request that another node forwards. */
    static final String CALLER_HEADER = "apricotdeal-caller";

    static final String CLASS_HEADER = "apricotdeal-class";
    static final String DEADLINE_HEADER = "apricotdeal-deadline-ms";
    private static final long MAX_DEADLINE_MILLIS = 86_400_000;

    /**
     * Returns the headers with which the request is forwarded.
     *
     * @param nowMillis monotonic time
     * @return caller, class and what is left of the deadline
     */
    public Map<String, String> forwardHeaders(long nowMillis) {
        return Map.of(
                CALLER_HEADER, caller.id().value(),
                CLASS_HEADER, workClass.id().value(),
                DEADLINE_HEADER, Long.toString(Math.max(1, deadlineAtMillis - nowMillis)));
    }

    static Result<ClassEntry, Failure> workClass(
            HttpFields headers, Catalogue catalogue, CallerEntry caller, ClassId fallback) {
        String named = headers.get(CLASS_HEADER);
        if (named != null && !Names.isValid(named)) {
            return Checked.badRequest(CLASS_HEADER + ": expected the name of a class");
        }
        ClassId id = named == null ? fallback : new ClassId(named);
        if (!caller.classes().contains(id)) {
            return Checked.forbidden("caller " + caller.id() + " may not use class " + id);
        }
        Optional<ClassEntry> entry = catalogue.find("class " + id, ClassEntry.class);
        if (entry.isEmpty()) {
            return Checked.notFound("class " + id + " is not in the catalogue");
        }
        return Result.ok(entry.get());
    }

    static Result<Long, Failure> deadlineMillis(HttpFields headers, ClassEntry workClass) {
        String named = headers.get(DEADLINE_HEADER);
        if (named == null) {
            return Result.ok(workClass.deadlineMillis());
        }
        try {
            long millis = Long.parseLong(named);
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return Result.ok(millis);
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number out of bounds.
        }
        return Checked.badRequest(DEADLINE_HEADER + ": expected 1 to " + MAX_DEADLINE_MILLIS);
    }
}
