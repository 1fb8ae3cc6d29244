/** One token stream over the replicas that serve it in turn: nothing repeated, nothing skipped. */
package org.apricotdeal.policy.stream;
