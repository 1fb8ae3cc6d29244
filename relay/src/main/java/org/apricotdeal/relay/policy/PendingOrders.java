package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.OrderReply;

/**
 * Orders under way, one a VM. An order without an answer may be carried out seconds later; it is sent again with the same
 * expected count, so that of all its copies one at most acts, until the VM's count shows that it or another has.
 */
public final class PendingOrders {
    /** Wait before an order without an answer is sent again. */
    private static final long RESEND_MILLIS = 700;

    /** Wait after a refusal, so that a VM that cannot take an order is not asked without end. */
    private static final long REFUSAL_PAUSE_MILLIS = 400;

    /** Longest that an order may be carried out late, with a margin; the platform names 12 seconds. */
    private static final long MAX_ORDER_DELAY_MILLIS = 13_000;

    private final Map<VmId, Entry> entries = new HashMap<>();

    /** An order under way, or the pause after one. */
    private static final class Entry {
        private final PlannedOrder order;
        private final long firstSentMillis;
        private long nextSendMillis;
        private boolean begun;
        private long pauseUntilMillis;

        Entry(PlannedOrder order, long nowMillis) {
            this.order = order;
            this.firstSentMillis = nowMillis;
            this.nextSendMillis = nowMillis + RESEND_MILLIS;
        }
    }

    /**
     * Notes an order that is sent now.
     *
     * @param nowMillis time
     * @param order the order
     */
    public void onSent(long nowMillis, PlannedOrder order) {
        entries.put(order.vm().id(), new Entry(order, nowMillis));
    }

    /**
     * Takes a reply.
     *
     * @param nowMillis time
     * @param order the order
     * @param reply the reply
     */
    public void onReply(long nowMillis, PlannedOrder order, OrderReply reply) {
        Entry entry = entries.get(order.vm().id());
        if (entry == null || !entry.order.equals(order)) {
            return;
        }
        switch (reply) {
            case BEGUN -> entry.begun = true;
            case UNKNOWN -> {}
            case HOLDS -> entries.remove(order.vm().id());
            case CONFLICT, OUTDATED, REFUSED, NOT_THIS_VM -> entry.pauseUntilMillis = nowMillis + REFUSAL_PAUSE_MILLIS;
            default -> throw new IllegalStateException("reply " + reply);
        }
    }

    /**
     * Tells whether a VM is free of orders whose effect is open.
     *
     * @param nowMillis time
     * @param vm the VM as it is believed to be now
     * @return true where a new order may be planned for it
     */
    public boolean isSettled(long nowMillis, UpstreamVm vm) {
        Entry entry = entries.get(vm.id());
        if (entry == null) {
            return true;
        }
        boolean restarted = vm.startedWallMillis() != entry.order.vm().startedWallMillis();
        boolean moved = vm.orderCount() > entry.order.expectedOrders();
        boolean paused = entry.pauseUntilMillis > 0 && nowMillis >= entry.pauseUntilMillis;
        boolean expired = nowMillis - entry.firstSentMillis > MAX_ORDER_DELAY_MILLIS;
        if (restarted || moved || paused || expired) {
            entries.remove(vm.id());
            return true;
        }
        return false;
    }

    /**
     * Returns the order that is under way to a VM.
     *
     * @param id the VM
     * @return the order, or null
     */
    public PlannedOrder pending(VmId id) {
        Entry entry = entries.get(id);
        return entry == null || entry.pauseUntilMillis > 0 ? null : entry.order;
    }

    /**
     * Returns orders without an answer that are due to be sent again.
     *
     * @param nowMillis time
     * @return the orders
     */
    public List<PlannedOrder> takeDueForResend(long nowMillis) {
        List<PlannedOrder> due = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.begun && entry.pauseUntilMillis == 0 && nowMillis >= entry.nextSendMillis) {
                entry.nextSendMillis = nowMillis + RESEND_MILLIS;
                due.add(entry.order);
            }
        }
        return due;
    }

    /**
     * Returns the VMs whose state should be asked for, since an order of theirs is under way.
     *
     * @return the VMs
     */
    public List<VmId> vmsWithOrders() {
        return List.copyOf(entries.keySet());
    }
}
