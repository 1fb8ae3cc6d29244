/** Distribution of catalogue versions from the platform to all nodes; the version of a node never decreases. */
package org.apricotdeal.policy.spread;
