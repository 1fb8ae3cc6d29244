/** Bounds on retries. */
package org.apricotdeal.policy.retry;
