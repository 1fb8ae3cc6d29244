package org.apricotdeal.node.live;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.codahale.metrics.Gauge;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.node.kernel.InProgress;
import org.apricotdeal.node.kernel.NodeKernel;

/**
 * The duty of all requests of one kind. Upstreams' answers come through the ring; a full ring slows the upstream's
 * connection down. Decisions of other duties come as notices that never wait, so that two duties cannot wait for each
 * other; there are at most a few for each request in progress.
 */
final class LiveDuty {
    private static final int RING_SLOTS = 65_536;
    private static final long TICK_MILLIS = 20;
    private static final Input WAKE = new Input(null, null);

    private final Set<LiveRequest> live = new LinkedHashSet<>();
    private final Queue<Input> notices = new ConcurrentLinkedQueue<>();
    private final InProgress inProgress;
    private final Duty<Input> duty;
    private volatile int liveCount;

    private record Input(LiveRequest request, LiveEvent event) {}

    LiveDuty(String name, NodeKernel kernel) {
        inProgress = kernel.require(InProgress.class);
        duty = kernel.duty(name, RING_SLOTS, TICK_MILLIS, this::takeFromRing, this::tick);
        kernel.metrics().register(name + ".live", (Gauge<Integer>) () -> liveCount);
    }

    /** Hands an upstream's answer to a request; waits for room. Never called on a duty's thread. */
    void put(LiveRequest request, LiveEvent event) {
        duty.put(new Input(request, event));
    }

    /** Hands a decision to a request; never waits. */
    void notice(LiveRequest request, LiveEvent event) {
        notices.add(new Input(request, event));
        // Where the ring is full no wake-up is needed: the duty takes its notices before the next event of the ring.
        duty.offer(WAKE);
    }

    private void takeFromRing(Input input) {
        takeNotices();
        if (input.request() != null) {
            take(input);
        }
    }

    private void takeNotices() {
        for (Input notice = notices.poll(); notice != null; notice = notices.poll()) {
            take(notice);
        }
    }

    private void take(Input input) {
        LiveRequest request = input.request();
        if (request.hasEnded()) {
            return;
        }
        live.add(request);
        try {
            request.take(input.event());
        } finally {
            if (request.hasEnded()) {
                forget(request);
            }
        }
        liveCount = live.size();
    }

    private void forget(LiveRequest request) {
        if (live.remove(request)) {
            inProgress.leave();
        }
        liveCount = live.size();
    }

    private void tick() {
        takeNotices();
        for (Iterator<LiveRequest> all = live.iterator(); all.hasNext(); ) {
            LiveRequest request = all.next();
            request.take(new LiveEvent.Tick());
            if (request.hasEnded()) {
                all.remove();
                inProgress.leave();
            }
        }
        liveCount = live.size();
    }
}
