/** Choice of a target among an upstream's replicas or service VMs. */
package org.apricotdeal.policy.routing;
