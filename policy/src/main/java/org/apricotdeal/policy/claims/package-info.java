/** Claims of idempotency keys, recorded in the key-value service before a call is sent so that it runs at most once. */
package org.apricotdeal.policy.claims;
