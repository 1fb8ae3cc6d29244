/** Idempotency keys: claims recorded in the key-value service before a call is dispatched, so that it runs at most once. */
package org.apricotdeal.policy.claims;
