package org.apricotdeal.standins.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.http.EngineJson;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.standins.server.StandinThreads;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.Result;

/**
 * The first member's watch over the other members of its replica. It asks each for its state again and again; a member that
 * does not answer, has restarted or belongs elsewhere is lost. The replica is whole once all have answered in one round, and
 * until one is lost.
 */
final class MemberWatch {
    private static final long ROUND_MILLIS = 200;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final EngineState expected;
    private final List<VmId> others;
    private final Map<VmId, String> addresses;
    private final StandinThreads threads;
    private final Runnable onLost;
    private final Map<VmId, String> bootIds = new ConcurrentHashMap<>();
    private volatile boolean isWhole;
    private volatile boolean isStopped;

    /**
     * Creates a watch.
     *
     * @param expected state of the first member, whose replica and generation the others must be of
     * @param addresses addresses of all VMs
     * @param threads shared threads
     * @param onLost what to do each time the replica is whole no more
     */
    MemberWatch(EngineState expected, Map<VmId, String> addresses, StandinThreads threads, Runnable onLost) {
        this.expected = expected;
        this.others = expected.members().subList(1, expected.members().size());
        this.addresses = addresses;
        this.threads = threads;
        this.onLost = onLost;
    }

    void start() {
        if (others.isEmpty()) {
            isWhole = true;
            return;
        }
        runRound();
    }

    void stop() {
        isStopped = true;
        isWhole = false;
    }

    boolean isWhole() {
        return isWhole;
    }

    private void runRound() {
        if (isStopped) {
            return;
        }
        AtomicInteger missing = new AtomicInteger(others.size());
        for (VmId member : others) {
            ask(member, missing);
        }
        threads.afterMillis(ROUND_MILLIS, this::runRound);
    }

    private void ask(VmId member, AtomicInteger missing) {
        String address = addresses.get(member);
        if (address == null) {
            lose();
            return;
        }
        threads.client()
                .newRequest("http://" + address + "/engine/state")
                .timeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        if (result.isFailed() || !isMember(member, getContentAsString())) {
                            lose();
                        } else if (missing.decrementAndGet() == 0 && !isStopped) {
                            isWhole = true;
                        }
                    }
                });
    }

    private boolean isMember(VmId member, String body) {
        try {
            EngineState state = EngineJson.readState(body);
            String firstBootId = bootIds.putIfAbsent(member, state.bootId());
            return expected.replica().equals(state.replica())
                    && expected.generation() == state.generation()
                    && (firstBootId == null || firstBootId.equals(state.bootId()));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return false;
        }
    }

    private void lose() {
        boolean wasWhole = isWhole;
        isWhole = false;
        if (wasWhole && !isStopped) {
            onLost.run();
        }
    }
}
