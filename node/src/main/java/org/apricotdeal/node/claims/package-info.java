/** Runs the claims journal, which ensures that a non-idempotent call with an idempotency key runs at most once. */
package org.apricotdeal.node.claims;
