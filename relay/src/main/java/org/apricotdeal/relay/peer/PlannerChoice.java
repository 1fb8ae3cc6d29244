package org.apricotdeal.relay.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Chooses the node that plans a failure domain. Every node comes to the same choice from the same list: the domain's own
 * nodes go first, then the others, each in an order that differs from domain to domain.
 */
public final class PlannerChoice {
    private PlannerChoice() {}

    /**
     * A node that may plan.
     *
     * @param name its name
     * @param failureDomain its failure domain
     */
    public record Candidate(String name, FailureDomainId failureDomain) {}

    /**
     * Chooses the planner.
     *
     * @param domain the failure domain
     * @param live nodes that live
     * @return name of the planner, or nothing where no node lives
     */
    public static Optional<String> planner(FailureDomainId domain, Collection<Candidate> live) {
        return live.stream().min(order(domain)).map(Candidate::name);
    }

    /**
     * Returns the order in which nodes are chosen for a failure domain.
     *
     * @param domain the failure domain
     * @return the domain's own nodes first
     */
    static Comparator<Candidate> order(FailureDomainId domain) {
        return Comparator.comparing(
                        (Candidate candidate) -> !candidate.failureDomain().equals(domain))
                .thenComparingInt(candidate -> (domain.value() + "/" + candidate.name()).hashCode())
                .thenComparing(Candidate::name);
    }
}
