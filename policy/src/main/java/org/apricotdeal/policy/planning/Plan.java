package org.apricotdeal.policy.planning;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;

/**
 * The plan of one failure domain: one record of the key-value service, changed only by compare-and-swap.
 *
 * @param version grows by one with each change; the fencing number of the orders that carry it out
 * @param failureDomain the failure domain
 * @param planner the node that wrote this version
 * @param nextReplica number of the next new replica; ids are never used again
 * @param replicas the replicas, by id
 * @param spares VMs that can enter a replica
 * @param resting VMs that enter no replica for now: failed, leaving or stragglers
 * @param nodes nodes that may take over the planner's role
 */
public record Plan(
        long version,
        FailureDomainId failureDomain,
        NodeId planner,
        long nextReplica,
        List<PlannedReplica> replicas,
        List<VmId> spares,
        List<VmId> resting,
        List<NodeId> nodes) {
    /** Copies the lists. */
    public Plan {
        replicas = List.copyOf(replicas);
        spares = List.copyOf(spares);
        resting = List.copyOf(resting);
        nodes = List.copyOf(nodes);
    }

    /**
     * Creates the plan before the first version.
     *
     * @param failureDomain the failure domain
     * @param node the node that creates it
     * @return version 0, without replicas
     */
    public static Plan empty(FailureDomainId failureDomain, NodeId node) {
        return new Plan(0, failureDomain, node, 1, List.of(), List.of(), List.of(), List.of());
    }

    /**
     * Creates the version after this one.
     *
     * @param writer the node that writes it
     * @return the same content, with the next version
     */
    public Plan next(NodeId writer) {
        return new Plan(version + 1, failureDomain, writer, nextReplica, replicas, spares, resting, nodes);
    }

    /**
     * Replaces the registered nodes.
     *
     * @param newNodes nodes that may take over the planner's role
     * @return the same plan with these nodes
     */
    public Plan withNodes(List<NodeId> newNodes) {
        return new Plan(version, failureDomain, planner, nextReplica, replicas, spares, resting, newNodes);
    }

    /**
     * Tells whether two plans say the same of the fleet, whatever their versions and writers.
     *
     * @param other the other plan
     * @return true where replicas, spares, resting VMs and nodes are the same
     */
    public boolean sameContent(Plan other) {
        return replicas.equals(other.replicas)
                && spares.equals(other.spares)
                && resting.equals(other.resting)
                && nodes.equals(other.nodes);
    }
}
