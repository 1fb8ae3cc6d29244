package org.apricotdeal.relay.poison;

import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.PromptPartId;

/**
 * Parts that crash VMs if a prompt has all of them. Usually a single part; several as long as they have only been seen
 * together, so that the crashes do not show which of them is the cause.
 *
 * @param served what the crashed VMs served
 * @param parts the parts
 * @param lastCrashMillis monotonic time of the last crash that they explain
 * @param certain false if other parts explain the same crashes equally well
 */
public record BlamedParts(ModelRelease served, Set<PromptPartId> parts, long lastCrashMillis, boolean certain) {
    /** Copies the set. */
    public BlamedParts {
        parts = Set.copyOf(parts);
    }

    /**
     * Returns whether a request has all the blamed parts.
     *
     * @param upstream upstream of the request
     * @param prompt shared parts of the request
     * @return true if the request may crash VMs of some model or release of the upstream
     */
    boolean concerns(UpstreamId upstream, List<PromptPartId> prompt) {
        return served.upstream().equals(upstream) && prompt.containsAll(parts);
    }

    /**
     * Returns whether the same parts are blamed, whatever the number and time of their crashes.
     *
     * @param other other blame
     * @return true if both hold back the same requests
     */
    public boolean hasSameParts(BlamedParts other) {
        return served.equals(other.served) && parts.equals(other.parts);
    }
}
