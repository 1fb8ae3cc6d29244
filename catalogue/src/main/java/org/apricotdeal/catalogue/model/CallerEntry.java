package org.apricotdeal.catalogue.model;

import java.util.List;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A caller and what it may ask for.
 *
 * @param id the caller
 * @param owner who may be asked about the entry
 * @param keySha256 SHA-256 of the caller's key, 64 hexadecimal digits
 * @param weight weight among the callers of a class
 * @param classes classes that the caller may use
 * @param upstreams upstreams that the caller may use
 * @param tokensPerSecond limit over all nodes on tokens generated, each second
 * @param requestsPerSecond limit over all nodes on requests, each second
 * @param maxInFlight requests in progress over all nodes
 */
public record CallerEntry(
        CallerId id,
        String owner,
        String keySha256,
        double weight,
        List<ClassId> classes,
        List<UpstreamId> upstreams,
        double tokensPerSecond,
        double requestsPerSecond,
        int maxInFlight)
        implements Entry {
    /** Copies the lists. */
    public CallerEntry {
        classes = List.copyOf(classes);
        upstreams = List.copyOf(upstreams);
    }

    @Override
    public String key() {
        return "caller " + id;
    }
}
