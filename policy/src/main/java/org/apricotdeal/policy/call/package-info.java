/** One call to a plain service: when it may be sent again, and what may be said about it when it was not answered. */
package org.apricotdeal.policy.call;
