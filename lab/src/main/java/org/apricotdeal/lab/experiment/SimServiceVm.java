package org.apricotdeal.lab.experiment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;

/** A VM of a plain service: a bounded number of calls at a time, each of a random length. */
final class SimServiceVm implements SimTarget {
    /** Mean time of a call. */
    static final double MEAN_CALL_MILLIS = 80;

    private static final double MIN_PART = 0.5;

    private final String name;
    private final Scheduler scheduler;
    private final Network network;
    private final int maxCalls;
    private final Map<RequestId, CallerRequest> running = new HashMap<>();
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private double slowdown = 1;
    private boolean lost;
    private int incarnation;

    SimServiceVm(String name, Scheduler scheduler, Network network, int maxCalls) {
        this.name = name;
        this.scheduler = scheduler;
        this.network = network;
        this.maxCalls = maxCalls;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start(SimNode node, RequestId id, CallerRequest request, int tokensSoFar) {
        if (running.size() >= maxCalls) {
            queue.add(() -> start(node, id, request, tokensSoFar));
            return;
        }
        running.put(id, request);
        double part = MIN_PART + scheduler.random().nextDouble() * 2 * (1 - MIN_PART);
        int started = incarnation;
        scheduler.after((long) (MEAN_CALL_MILLIS * part * slowdown), () -> {
            if (started == incarnation && running.remove(id) != null) {
                List<SimNode.TokenCount> answer = List.of(new SimNode.TokenCount(id, 1, true));
                network.send(name, node.name(), () -> node.tokens(answer));
                startNext();
            }
        });
    }

    private void startNext() {
        if (!queue.isEmpty()) {
            queue.poll().run();
        }
    }

    @Override
    public void cancel(RequestId id) {
        // A call that has begun runs to its end.
    }

    @Override
    public int running() {
        return running.size();
    }

    @Override
    public int waiting() {
        return queue.size();
    }

    @Override
    public void setLost(boolean isLost) {
        lost = isLost;
        running.clear();
        queue.clear();
        incarnation++;
    }

    @Override
    public boolean isLost() {
        return lost;
    }

    @Override
    public void setSlowdown(double factor) {
        slowdown = factor;
    }
}
