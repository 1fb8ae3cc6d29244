/** Spreads catalogue versions from the platform over all nodes; a version never goes back on any node. */
package org.apricotdeal.policy.spread;
