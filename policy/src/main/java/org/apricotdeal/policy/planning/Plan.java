package org.apricotdeal.policy.planning;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;

/**
 * The plan of one failure domain, stored as one record in the key-value service and changed only by compare-and-swap.
 *
 * @param version grows with each change; the fencing number of the orders that carry out the plan
 * @param failureDomain the failure domain
 * @param planner the node that wrote this version
 * @param nextReplica number of the next new replica; replica ids are never reused
 * @param replicas the replicas, by id
 * @param spares VMs that can become members of a replica
 * @param resting VMs that are in no replica and cannot join one now, such as failed or leaving VMs
 * @param nodes nodes that may become the planner
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
     * Creates the plan that precedes the first version.
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
    public Plan nextVersion(NodeId writer) {
        return new Plan(version + 1, failureDomain, writer, nextReplica, replicas, spares, resting, nodes);
    }

    /**
     * Replaces the registered nodes.
     *
     * @param newNodes nodes that may become the planner
     * @return the same plan with these nodes
     */
    public Plan withNodes(List<NodeId> newNodes) {
        return new Plan(version, failureDomain, planner, nextReplica, replicas, spares, resting, newNodes);
    }

    /**
     * Compares the contents of two plans, without their versions and writers.
     *
     * @param other the other plan
     * @return true if replicas, spares, resting VMs and nodes are the same
     */
    public boolean hasSameContent(Plan other) {
        return replicas.equals(other.replicas)
                && spares.equals(other.spares)
                && resting.equals(other.resting)
                && nodes.equals(other.nodes);
    }
}
