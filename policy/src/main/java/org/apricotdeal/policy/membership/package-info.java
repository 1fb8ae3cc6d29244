/** Membership: who probes which VM, what nodes tell each other, and when silence means failure. */
package org.apricotdeal.policy.membership;
