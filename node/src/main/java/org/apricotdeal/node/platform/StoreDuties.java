package org.apricotdeal.node.platform;

import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Timer;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreCallExecutor;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Starts one duty for each purpose of store calls, so that a lease renewal doesn't wait for a slow write made for another
 * purpose.
 */
public final class StoreDuties {
    private static final int RING_BUFFER_SLOTS = 1_024;
    private static final long TICK_MILLIS = 1_000;

    private final NodeKernel kernel;
    private final StoreCallExecutor storeCaller;
    private final Counter calls;
    private final Counter failures;
    private final Timer latency;
    private long unreachableSinceMillis = -1;

    /**
     * Creates the part that all duties share: the store and the metrics.
     *
     * @param kernel starts the duties
     * @param store the key-value service that executes the calls
     */
    public StoreDuties(NodeKernel kernel, KeyValueStore store) {
        this.kernel = kernel;
        this.storeCaller = new StoreCallExecutor(store);
        this.calls = kernel.metrics().counter("platform.calls");
        this.failures = kernel.metrics().counter("platform.failures");
        this.latency = kernel.metrics().timer("platform.latency");
    }

    /**
     * Starts a duty that executes store calls one after the other.
     *
     * @param purpose what the calls are for, such as {@code planning}; part of the duty's name
     * @param onReply receives each reply, on the duty's thread, or on the submitter's if the ring buffer is full
     * @return submits a call; if the ring buffer is full, the call fails at once as not done
     */
    public Consumer<StoreCall> start(String purpose, Consumer<StoreReply> onReply) {
        Duty<StoreCall> duty = kernel.duty(
                "store-" + purpose, RING_BUFFER_SLOTS, TICK_MILLIS, call -> onReply.accept(execute(call)), () -> {});
        return call -> {
            if (!duty.offer(call)) {
                onReply.accept(new StoreReply.Failed(
                        call.callId(), new PlatformError.NotDone("too many store calls are queued")));
            }
        };
    }

    private StoreReply execute(StoreCall call) {
        calls.inc();
        Timer.Context timing = latency.time();
        StoreReply reply = storeCaller.call(call);
        timing.stop();
        recordReachability(reply);
        return reply;
    }

    private synchronized void recordReachability(StoreReply reply) {
        long nowMillis = kernel.clock().monotonicMillis();
        if (reply instanceof StoreReply.Failed(long callId, PlatformError error)) {
            failures.inc();
            if (unreachableSinceMillis < 0) {
                unreachableSinceMillis = nowMillis;
                kernel.timeline().record(Message.PLATFORM_UNREACHABLE, error.detail());
            }
        } else if (unreachableSinceMillis >= 0) {
            kernel.timeline().record(Message.PLATFORM_REACHABLE, nowMillis - unreachableSinceMillis);
            unreachableSinceMillis = -1;
        }
    }
}
