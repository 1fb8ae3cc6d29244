/** Callers' limits, held over all nodes by shares that nodes lend to each other. */
package org.apricotdeal.policy.limits;
