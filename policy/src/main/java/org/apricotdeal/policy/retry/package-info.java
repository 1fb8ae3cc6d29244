/** Limits on the number of retries. */
package org.apricotdeal.policy.retry;
