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
import org.apricotdeal.platform.call.StoreCaller;
import org.apricotdeal.platform.call.StoreReply;

/** Opens duties that carry out store calls; a lease renewal thus never waits behind another matter's slow write. */
public final class StoreDuties {
    private static final int RING_SLOTS = 1_024;
    private static final long TICK_MILLIS = 1_000;

    private final NodeKernel kernel;
    private final StoreCaller caller;
    private final Counter calls;
    private final Counter failures;
    private final Timer latency;
    private long awaySinceMillis = -1;

    /**
     * Creates the duties' common part.
     *
     * @param kernel starts the duties
     * @param store the key-value service
     */
    public StoreDuties(NodeKernel kernel, KeyValueStore store) {
        this.kernel = kernel;
        this.caller = new StoreCaller(store);
        this.calls = kernel.metrics().counter("platform.calls");
        this.failures = kernel.metrics().counter("platform.failures");
        this.latency = kernel.metrics().timer("platform.latency");
    }

    /**
     * Opens a duty.
     *
     * @param matter name of the matter, such as {@code planning}
     * @param onReply takes each reply on the duty's thread and hands it on
     * @return takes calls; a call that finds the ring full is answered as not done
     */
    public Consumer<StoreCall> open(String matter, Consumer<StoreReply> onReply) {
        Duty<StoreCall> duty = kernel.duty(
                "store-" + matter, RING_SLOTS, TICK_MILLIS, call -> onReply.accept(execute(call)), () -> {});
        return call -> {
            if (!duty.offer(call)) {
                onReply.accept(new StoreReply.Failed(call.callId(), new PlatformError.NotDone("too many calls wait")));
            }
        };
    }

    private StoreReply execute(StoreCall call) {
        calls.inc();
        Timer.Context context = latency.time();
        StoreReply reply = caller.call(call);
        context.stop();
        noteReachability(reply);
        return reply;
    }

    private synchronized void noteReachability(StoreReply reply) {
        long nowMillis = kernel.clock().monotonicMillis();
        if (reply instanceof StoreReply.Failed(long callId, PlatformError error)) {
            failures.inc();
            if (awaySinceMillis < 0) {
                awaySinceMillis = nowMillis;
                kernel.timeline().record(Message.PLATFORM_UNREACHABLE, error.detail());
            }
        } else if (awaySinceMillis >= 0) {
            kernel.timeline().record(Message.PLATFORM_REACHABLE, nowMillis - awaySinceMillis);
            awaySinceMillis = -1;
        }
    }
}
