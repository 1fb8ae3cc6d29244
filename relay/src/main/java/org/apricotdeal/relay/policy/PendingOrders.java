package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.OrderReply;

/**
 * Pending orders, at most one per VM. An unanswered order may be executed seconds later. It is resent with the same
 * expected order count, so that at most one copy is executed, until the order count of the VM shows that this order
 * or another one was.
 */
public final class PendingOrders {
    /** Delay before an unanswered order is resent. */
    private static final long RESEND_MILLIS = 700;

    /** Delay after a refusal, so that a VM that cannot execute an order is not asked continuously. */
    private static final long REFUSAL_PAUSE_MILLIS = 400;

    /** Maximum time until a late order is executed, with a margin; the platform specifies 12 seconds. */
    private static final long MAX_ORDER_DELAY_MILLIS = 13_000;

    private final Map<VmId, Entry> entries = new HashMap<>();

    /** A pending order, or the pause after a refused one. */
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
     * Records an order that is sent now.
     *
     * @param nowMillis monotonic time
     * @param order order that is sent
     */
    public void onSent(long nowMillis, PlannedOrder order) {
        entries.put(order.vm().id(), new Entry(order, nowMillis));
    }

    /**
     * Handles the reply to an order.
     *
     * @param nowMillis monotonic time
     * @param order order that was sent
     * @param reply reply of the VM
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
     * Returns whether a VM has no order whose effect is still unknown.
     *
     * @param nowMillis monotonic time
     * @param vm last known state of the VM
     * @return true if a new order may be planned for the VM
     */
    public boolean isSettled(long nowMillis, UpstreamVm vm) {
        Entry entry = entries.get(vm.id());
        if (entry == null) {
            return true;
        }
        boolean restarted = vm.startedWallMillis() != entry.order.vm().startedWallMillis();
        boolean moved = vm.orderCount() > entry.order.expectedOrders();
        boolean reported = entry.begun && vm.orderCount() != UpstreamVm.ORDER_COUNT_UNKNOWN;
        boolean paused = entry.pauseUntilMillis > 0 && nowMillis >= entry.pauseUntilMillis;
        boolean expired = nowMillis - entry.firstSentMillis > MAX_ORDER_DELAY_MILLIS;
        if (restarted || moved || reported || paused || expired) {
            entries.remove(vm.id());
            return true;
        }
        return false;
    }

    /**
     * Returns the pending order of a VM.
     *
     * @param id identifies the VM
     * @return pending order, or null
     */
    public PlannedOrder pending(VmId id) {
        Entry entry = entries.get(id);
        return entry == null || entry.pauseUntilMillis > 0 ? null : entry.order;
    }

    /**
     * Returns the unanswered orders that are due to be resent, and schedules their next resend.
     *
     * @param nowMillis monotonic time
     * @return orders to send again
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
     * Returns the VMs that should be polled because they have a pending order.
     *
     * @return VMs with an order or a pause after one
     */
    public List<VmId> vmsWithOrders() {
        return List.copyOf(entries.keySet());
    }
}
