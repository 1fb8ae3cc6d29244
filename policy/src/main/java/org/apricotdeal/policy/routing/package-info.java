/** Routing: the choice of a target among the replicas or service VMs of an upstream. */
package org.apricotdeal.policy.routing;
