package org.apricotdeal.node.live;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.codahale.metrics.Gauge;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.RequestsInProgress;

/**
 * The duty that runs all requests of one kind. Upstreams' answers arrive through the ring; a full ring blocks the thread
 * that reads from the upstream, which slows the connection down. Decisions of other duties arrive as notices in an unbounded
 * queue: posting one never blocks, so two duties cannot wait for each other. The queue stays short because there are at
 * most a few notices for each request in progress.
 */
final class LiveDuty {
    private static final int RING_SLOTS = 65_536;
    private static final long TICK_MILLIS = 20;
    private static final Input WAKE_UP = new Input(null, null);

    private final Set<LiveRequest> liveRequests = new LinkedHashSet<>();
    private final Queue<Input> notices = new ConcurrentLinkedQueue<>();
    private final RequestsInProgress inProgress;
    private final Duty<Input> duty;
    private volatile int liveCount;

    private record Input(LiveRequest request, LiveEvent event) {}

    LiveDuty(String name, NodeKernel kernel) {
        inProgress = kernel.require(RequestsInProgress.class);
        duty = kernel.duty(name, RING_SLOTS, TICK_MILLIS, this::handleRingInput, this::tick);
        kernel.metrics().register(name + ".live", (Gauge<Integer>) () -> liveCount);
    }

    /** Enqueues an upstream's answer for a request; blocks while the ring is full. Must not be called on a duty's thread. */
    void put(LiveRequest request, LiveEvent event) {
        duty.put(new Input(request, event));
    }

    /** Enqueues a decision for a request; never blocks. */
    void postNotice(LiveRequest request, LiveEvent event) {
        notices.add(new Input(request, event));
        // If the ring is full, no wake-up is needed: the duty handles its notices before the next event of the ring.
        duty.offer(WAKE_UP);
    }

    private void handleRingInput(Input input) {
        handleNotices();
        if (input.request() != null) {
            handle(input);
        }
    }

    private void handleNotices() {
        for (Input notice = notices.poll(); notice != null; notice = notices.poll()) {
            handle(notice);
        }
    }

    private void handle(Input input) {
        LiveRequest request = input.request();
        if (request.hasEnded()) {
            return;
        }
        liveRequests.add(request);
        try {
            request.handle(input.event());
        } finally {
            if (request.hasEnded()) {
                removeEnded(request);
            }
        }
        liveCount = liveRequests.size();
    }

    private void removeEnded(LiveRequest request) {
        if (liveRequests.remove(request)) {
            inProgress.release();
        }
        liveCount = liveRequests.size();
    }

    private void tick() {
        handleNotices();
        for (Iterator<LiveRequest> requests = liveRequests.iterator(); requests.hasNext(); ) {
            LiveRequest request = requests.next();
            request.handle(new LiveEvent.Tick());
            if (request.hasEnded()) {
                requests.remove();
                inProgress.release();
            }
        }
        liveCount = liveRequests.size();
    }
}
