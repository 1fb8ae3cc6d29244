package org.apricotdeal.policy.admission;

/**
 * Features of the dispatcher that the baselines of an experiment disable.
 *
 * @param classes whether each class has a queue of its own; if false, all requests share one queue
 * @param callerFairness whether a class's capacity is divided between its callers; if false, requests of a class are
 *     served in order of arrival
 * @param earlyRefusal whether requests that are predicted to start late are refused on arrival
 * @param preemption whether streams of preemptible classes are paused for more urgent requests
 * @param stragglers whether targets that are slower than their peers get fewer requests
 */
public record AdmissionOptions(
        boolean classes, boolean callerFairness, boolean earlyRefusal, boolean preemption, boolean stragglers) {
    /** All features enabled. */
    public static final AdmissionOptions DEFAULT = new AdmissionOptions(true, true, true, true, true);

    /** One queue in order of arrival; requests are refused only if the queue is full or their deadline has passed. */
    public static final AdmissionOptions FIFO = new AdmissionOptions(false, false, false, false, false);
}
