package org.apricotdeal.relay.node;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.health.LocalHealth;
import org.apricotdeal.relay.health.ReportBudget;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.policy.ProcessDelay;
import org.apricotdeal.relay.port.VmClient;

/** Asks VMs for their state, and tells the silence of a VM from the delay of this node. */
final class VmPolls {
    /** Timeout of a report; a VM replies within milliseconds, even under load. */
    private static final long REPORT_TIMEOUT_MILLIS = 250;

    /** Time without any work of the caller after which the process was held up. */
    private static final long MAX_GAP_MILLIS = REPORT_TIMEOUT_MILLIS;

    private final VmClient vmClient;
    private final BiConsumer<VmId, Result<VmReport, String>> onReport;
    private final LocalHealth health;
    private final Clock clock;
    private final MetricRegistry metrics;
    private final long delayEffectMillis;
    private final ProcessDelay ownDelay = new ProcessDelay(MAX_GAP_MILLIS);
    private final ReportBudget budget = new ReportBudget();
    private final Map<VmId, Long> lastMillis = new HashMap<>();

    /**
     * Creates the polls of a duty, which calls all methods.
     *
     * @param vmClient client of the VMs
     * @param tickMillis time between two calls of {@link #observe} on a node that is not late
     * @param onReport receives the reports on threads of the client
     * @param health delay of this node
     * @param clock clock
     * @param metrics counts the reports
     */
    VmPolls(
            VmClient vmClient,
            long tickMillis,
            BiConsumer<VmId, Result<VmReport, String>> onReport,
            LocalHealth health,
            Clock clock,
            MetricRegistry metrics) {
        this.vmClient = vmClient;
        this.onReport = onReport;
        this.health = health;
        this.clock = clock;
        this.metrics = metrics;
        this.delayEffectMillis = REPORT_TIMEOUT_MILLIS + tickMillis;
    }

    /** Records that the duty runs. */
    void observe() {
        ownDelay.observe(clock.monotonicMillis());
    }

    /**
     * Returns whether a report timed out because this node was held up or is late; a failure before the timeout is the VM's
     * own.
     */
    boolean isOwnDelay(VmId vm) {
        long nowMillis = clock.monotonicMillis();
        boolean heldUp = ownDelay.hasResumedWithin(nowMillis, delayEffectMillis);
        Long polledMillis = lastMillis.get(vm);
        if (polledMillis == null) {
            return heldUp;
        }
        long waitedMillis = nowMillis - polledMillis;
        return waitedMillis >= REPORT_TIMEOUT_MILLIS
                && (heldUp || waitedMillis < health.extend(REPORT_TIMEOUT_MILLIS, nowMillis));
    }

    /** Asks a VM for a doubt, unless it was asked within the given time or the budget is used up. */
    void ask(UpstreamVm vm, long periodMillis) {
        long nowMillis = clock.monotonicMillis();
        if (wasAskedWithin(vm.id(), periodMillis, nowMillis)) {
            return;
        }
        if (budget.tryTake(health.delayMillis(nowMillis), nowMillis)) {
            send(vm, nowMillis);
        } else {
            metrics.counter("vm.reports.withheld").inc();
        }
    }

    /** Asks a VM for the planner or the operator, who ask few and wait for the answer, whatever the budget. */
    void askUnlimited(UpstreamVm vm, long periodMillis) {
        long nowMillis = clock.monotonicMillis();
        if (!wasAskedWithin(vm.id(), periodMillis, nowMillis)) {
            send(vm, nowMillis);
        }
    }

    private boolean wasAskedWithin(VmId vm, long periodMillis, long nowMillis) {
        Long askedMillis = lastMillis.get(vm);
        return askedMillis != null && nowMillis - askedMillis < periodMillis;
    }

    private void send(UpstreamVm vm, long nowMillis) {
        lastMillis.put(vm.id(), nowMillis);
        metrics.counter("vm.reports.asked").inc();
        var unused = vmClient.report(vm, health.extend(REPORT_TIMEOUT_MILLIS, nowMillis))
                .thenAccept(report -> onReport.accept(vm.id(), report));
    }

    /** Returns when a VM was asked last; the distant past if it was not. */
    long lastAskedMillis(VmId vm) {
        return lastMillis.getOrDefault(vm, Long.MIN_VALUE / 2);
    }

    /** Forgets the VMs that are not known any more. */
    void retain(Predicate<VmId> known) {
        lastMillis.keySet().removeIf(known.negate());
    }
}
