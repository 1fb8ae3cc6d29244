/** Calls to plain services: when a call may be sent again, and how a call without an answer is reported. */
package org.apricotdeal.policy.call;
