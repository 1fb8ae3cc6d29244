package org.apricotdeal.catalogue.model;

import java.util.List;

import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A plain service.
 *
 * @param id the upstream, as callers name it
 * @param owner who may be asked about the entry
 * @param classId class of its calls that name none
 * @param repeatablePaths path prefixes whose calls are idempotent and may be retried; GET and HEAD always may
 * @param maxInFlightPerVm calls in progress at one VM; further ones wait at the nodes
 * @param timeoutMillis time after which a call without an answer has an unknown outcome
 * @param claimRetentionMillis time for which an idempotency key stays claimed
 */
public record ServiceEntry(
        UpstreamId id,
        String owner,
        ClassId classId,
        List<String> repeatablePaths,
        int maxInFlightPerVm,
        long timeoutMillis,
        long claimRetentionMillis)
        implements Entry {
    /** Copies the list. */
    public ServiceEntry {
        repeatablePaths = List.copyOf(repeatablePaths);
    }

    @Override
    public String key() {
        return "service " + id;
    }
}
