/** Membership: selection of the nodes that probe each VM, heartbeats between nodes, and failure detection. */
package org.apricotdeal.policy.membership;
