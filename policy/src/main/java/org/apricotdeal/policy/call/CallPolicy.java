package org.apricotdeal.policy.call;

import java.util.List;
import java.util.Locale;
import java.util.Set;

import org.apricotdeal.catalogue.model.ServiceEntry;

/**
 * Limits on the attempts of one call.
 *
 * @param repeatable whether the call is idempotent, so that it may be sent again although it may have run
 * @param deadlineMillis monotonic time after which no attempt is started and no answer is awaited
 * @param attemptTimeoutMillis maximum time to wait for the answer to one attempt of a repeatable call
 * @param maxAttempts maximum number of attempts, including those that were not sent
 */
public record CallPolicy(boolean repeatable, long deadlineMillis, long attemptTimeoutMillis, int maxAttempts) {
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD");

    /**
     * Returns whether a call is repeatable.
     *
     * @param method HTTP method
     * @param path path without the query
     * @param service the service's entry in the catalogue
     * @return true if the method is GET or HEAD, or if the path starts with one of the entry's repeatable paths
     */
    public static boolean isRepeatable(String method, String path, ServiceEntry service) {
        return SAFE_METHODS.contains(method.toUpperCase(Locale.ROOT)) || hasPrefix(path, service.repeatablePaths());
    }

    private static boolean hasPrefix(String path, List<String> prefixes) {
        return prefixes.stream().anyMatch(path::startsWith);
    }
}
