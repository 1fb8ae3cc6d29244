/**
 * Planning: which VMs form which replicas in one failure domain, the record of that plan, and the orders that carry it
 * out.
 */
package org.apricotdeal.policy.planning;
