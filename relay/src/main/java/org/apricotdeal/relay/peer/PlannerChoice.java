package org.apricotdeal.relay.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Chooses the node that plans a failure domain. All nodes that have the same list make the same choice: nodes of the domain
 * precede the others, and within both groups the order differs between domains.
 *
 * <p>Load pattern: most nodes of a large fleet have a small part of a core. The first node of a domain also exchanges
 * heartbeats with all others of the domain, with which a small node falls behind, so that its domain hears of changes
 * late. Small nodes therefore come last within their group.
 */
public final class PlannerChoice {
    /** Cores below which a node falls behind with the heartbeats and plans of a failure domain. */
    private static final double MIN_CORES = 0.5;

    private PlannerChoice() {}

    /**
     * A node that can be chosen as planner.
     *
     * @param name name of the node
     * @param failureDomain failure domain of the node
     * @param cores cores of usual speed that the node may use
     */
    public record Candidate(String name, FailureDomainId failureDomain, double cores) {
        /**
         * Creates a node with a core of its own.
         *
         * @param name name of the node
         * @param failureDomain failure domain of the node
         */
        public Candidate(String name, FailureDomainId failureDomain) {
            this(name, failureDomain, 1);
        }

        private boolean isSmall() {
            return cores < MIN_CORES;
        }
    }

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
                .thenComparing(Candidate::isSmall)
                .thenComparingInt(candidate -> (domain.value() + "/" + candidate.name()).hashCode())
                .thenComparing(Candidate::name);
    }
}
