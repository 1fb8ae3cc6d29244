package org.apricotdeal.policy.call;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.apricotdeal.catalogue.model.ServiceEntry;

/**
 * What may be done for one call.
 *
 * @param repeatable whether the call is idempotent, so that it may be sent again after it may have run
 * @param deadlineMillis monotonic time after which no attempt is begun and no answer is waited for
 * @param attemptTimeoutMillis longest time that one attempt of a repeatable call is waited for
 * @param maxAttempts most attempts, those that were not sent included
 */
public record CallPolicy(boolean repeatable, long deadlineMillis, long attemptTimeoutMillis, int maxAttempts) {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    /**
     * Tells whether a call is repeatable.
     *
     * @param method HTTP method
     * @param path path without query
     * @param service the service's entry in the catalogue
     * @return true where the method is GET or HEAD or the path begins with one of the entry's repeatable paths
     */
    public static boolean isRepeatable(String method, String path, ServiceEntry service) {
        return SAFE_METHODS.contains(method.toUpperCase(Locale.ROOT)) || hasPrefix(path, service.repeatablePaths());
    }

    private static boolean hasPrefix(String path, List<String> prefixes) {
        return prefixes.stream().anyMatch(path::startsWith);
    }
}
