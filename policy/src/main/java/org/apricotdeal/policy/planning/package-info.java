/**
 * Planning of the replicas of one failure domain: the assignment of VMs to replicas, the stored plan record, and the orders
 * to the engines that carry out the plan.
 */
package org.apricotdeal.policy.planning;
