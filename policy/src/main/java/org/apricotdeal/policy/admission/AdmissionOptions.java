package org.apricotdeal.policy.admission;

/**
 * Parts of the dispatcher that baselines of an experiment switch off.
 *
 * @param classes whether classes are told apart; without, all requests wait in one queue in the order of arrival
 * @param callerFairness whether callers of a class share it; without, a class's requests go in the order of arrival
 * @param earlyRefusal whether requests that are predicted to start late are refused on arrival
 * @param preemption whether streams of preemptible classes are paused for more urgent work
 * @param stragglers whether targets slower than their peers get less work
 */
public record AdmissionOptions(
        boolean classes, boolean callerFairness, boolean earlyRefusal, boolean preemption, boolean stragglers) {
    /** Everything on. */
    public static final AdmissionOptions DEFAULT = new AdmissionOptions(true, true, true, true, true);

    /** One queue in the order of arrival, requests refused only where it is full or they have expired. */
    public static final AdmissionOptions FIFO = new AdmissionOptions(false, false, false, false, false);
}
