package org.apricotdeal.relay.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Chooses the node that plans a failure domain. All nodes that have the same list make the same choice: nodes of the domain
 * precede the others, and within both groups the order differs between domains.
 */
public final class PlannerChoice {
    private PlannerChoice() {}

    /**
     * A node that can be chosen as planner.
     *
     * @param name name of the node
     * @param failureDomain failure domain of the node
     */
    public record Candidate(String name, FailureDomainId failureDomain) {}

    /**
     * Chooses the planner of a failure domain.
     *
     * @param domain the failure domain
     * @param liveNodes the live nodes of all failure domains
     * @return name of the planner; empty if there are no live nodes
     */
    public static Optional<String> planner(FailureDomainId domain, Collection<Candidate> liveNodes) {
        return liveNodes.stream().min(order(domain)).map(Candidate::name);
    }

    /**
     * Returns the order in which nodes are preferred for a failure domain.
     *
     * @param domain the failure domain
     * @return comparator that places nodes of the domain first
     */
    static Comparator<Candidate> order(FailureDomainId domain) {
        return Comparator.comparing(
                        (Candidate candidate) -> !candidate.failureDomain().equals(domain))
                .thenComparingInt(candidate -> (domain.value() + "/" + candidate.name()).hashCode())
                .thenComparing(Candidate::name);
    }
}
