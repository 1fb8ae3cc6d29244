package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.Optional;

/**
 * What would become of a request now, and what that is based on.
 *
 * @param verdict what would become of it
 * @param reason why it would be refused; empty otherwise
 * @param target where it would go; empty if it would wait or be refused
 * @param returningCaller whether the caller is taken for one that was refused before
 * @param waiting number of requests in the queue
 * @param freeSlots slots that this node may use now
 * @param usableSlots slots of targets that nothing bars but a lack of room
 * @param predictedWaitMillis predicted waiting time; -1 if no target can serve it
 * @param maxWaitMillis longest wait with which a request is admitted
 * @param startMillis usual time from sending to the first event of the answer
 * @param slotMillis predicted time from sending to the end of the answer
 * @param candidates all targets of the queue
 */
public record RequestExplanation(
        Verdict verdict,
        Optional<RefusalReason> reason,
        Optional<TargetId> target,
        boolean returningCaller,
        int waiting,
        int freeSlots,
        int usableSlots,
        long predictedWaitMillis,
        long maxWaitMillis,
        long startMillis,
        long slotMillis,
        List<Candidate> candidates) {
    /** Copies the list. */
    public RequestExplanation {
        candidates = List.copyOf(candidates);
    }

    /** What would become of the request. */
    public enum Verdict {
        /** It would be sent at once. */
        SEND,
        /** It would wait for a slot. */
        WAIT,
        /** It would be refused at once. */
        REFUSE
    }

    /**
     * A target of the queue.
     *
     * @param target the target
     * @param bar what keeps it from receiving a request now: evacuated, suspected, paused, cold, full, memory, held (the
     *     request or a part of its prompt is suspected of crashing its VMs), or none
     * @param home whether this node is one of its home nodes
     * @param running requests of this node that run there
     * @param load requests of all nodes that are known to run there
     * @param loadAgeMillis age of the other nodes' counts in the load; 0 if there are none
     * @param rating figure by which the targets are compared, the lowest first: the predicted time to the first event in
     *     milliseconds if the size of the request is known, or else the share of occupied slots
     */
    public record Candidate(
            Target target, String bar, boolean home, int running, int load, long loadAgeMillis, double rating) {}
}
