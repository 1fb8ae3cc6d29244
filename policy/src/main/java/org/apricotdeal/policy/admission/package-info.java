/** Admission control: queueing, dispatch, early refusal and preemption of requests. */
package org.apricotdeal.policy.admission;
