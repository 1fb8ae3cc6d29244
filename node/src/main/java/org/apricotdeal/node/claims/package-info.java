/** Runs the claims journal, which lets a non-idempotent call with an idempotency key run at most once. */
package org.apricotdeal.node.claims;
