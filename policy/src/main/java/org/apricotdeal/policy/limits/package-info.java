/** Callers' limits over all nodes, enforced by shares that nodes lend to each other. */
package org.apricotdeal.policy.limits;
