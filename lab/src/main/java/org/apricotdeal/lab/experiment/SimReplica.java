package org.apricotdeal.lab.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;

/**
 * A model replica that batches continuously. Each step adds a token to every stream whose prompt has been read; its time
 * grows with the number of streams and with the prompt tokens read in it. Prompts are read in chunks, those of more urgent
 * classes first; a prefix in the cache is not read again. The cache holds a bounded number of prefixes and evicts the
 * least recently used.
 */
final class SimReplica implements SimTarget {
    private static final long STEP_BASE_MICROS = 16_000;
    private static final long STEP_PER_STREAM_MICROS = 500;
    private static final int CHUNK_TOKENS = 128;
    private static final long PROMPT_TOKEN_MICROS = 80;
    private static final double PREFIX_SHARE = 0.7;

    private final String name;
    private final Scheduler scheduler;
    private final Network network;
    private final int maxStreams;
    private final SimCounters counters;
    private final Map<RequestId, Stream> running = new LinkedHashMap<>();
    private final Deque<Stream> queue = new ArrayDeque<>();
    private final Map<Long, Boolean> cache;
    private double slowdown = 1;
    private boolean lost;
    private boolean stepping;
    private int incarnation;

    /** A stream at the replica. */
    private static final class Stream {
        private final SimNode node;
        private final RequestId id;
        private final CallerRequest request;
        private int tokens;
        private int promptLeft;

        private Stream(SimNode node, RequestId id, CallerRequest request, int tokens) {
            this.node = node;
            this.id = id;
            this.request = request;
            this.tokens = tokens;
        }
    }

    SimReplica(
            String name, Scheduler scheduler, Network network, int maxStreams, int cacheEntries, SimCounters counters) {
        this.name = name;
        this.scheduler = scheduler;
        this.network = network;
        this.maxStreams = maxStreams;
        this.counters = counters;
        this.cache = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > cacheEntries;
            }
        };
    }

    /** Returns the time for which a request holds a slot of a full replica. */
    static double holdMillis(int promptTokens, int outputTokens, int maxStreams) {
        double step = STEP_BASE_MICROS + (double) STEP_PER_STREAM_MICROS * maxStreams;
        double reading = (double) promptTokens * PROMPT_TOKEN_MICROS;
        return (reading * maxStreams + step * outputTokens) / 1_000.0;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void start(SimNode node, RequestId id, CallerRequest request, int tokensSoFar) {
        Stream stream = new Stream(node, id, request, tokensSoFar);
        counters.maxWaiting = Math.max(counters.maxWaiting, queue.size());
        if (running.size() >= maxStreams) {
            queue.add(stream);
            return;
        }
        join(stream);
    }

    private void join(Stream stream) {
        int prompt = stream.request.load.promptTokens();
        stream.promptLeft = prompt + stream.tokens;
        if (stream.request.prefixHash != 0) {
            boolean hit = cache.containsKey(stream.request.prefixHash);
            cache.put(stream.request.prefixHash, true);
            counters.prefixLookup(hit);
            if (hit) {
                stream.promptLeft -= (int) (prompt * PREFIX_SHARE);
            } else {
                stream.node.cacheEvent(this, stream.request.prefixHash);
            }
        }
        running.put(stream.id, stream);
        if (!stepping) {
            stepping = true;
            scheduleStep();
        }
    }

    private void scheduleStep() {
        int budget = CHUNK_TOKENS;
        List<Stream> reading = new ArrayList<>();
        for (Stream stream : running.values()) {
            if (stream.promptLeft > 0) {
                reading.add(stream);
            }
        }
        reading.sort(Comparator.comparingInt(stream -> stream.request.priority));
        for (Stream stream : reading) {
            int read = Math.min(budget, stream.promptLeft);
            stream.promptLeft -= read;
            budget -= read;
        }
        long readMicros = (CHUNK_TOKENS - budget) * PROMPT_TOKEN_MICROS;
        double stepMicros = STEP_BASE_MICROS + (double) STEP_PER_STREAM_MICROS * running.size() + readMicros;
        int started = incarnation;
        scheduler.afterMicros((long) (stepMicros * slowdown), () -> {
            if (started == incarnation) {
                step();
            }
        });
    }

    private void step() {
        Map<SimNode, List<SimNode.TokenCount>> progress = new LinkedHashMap<>();
        long nowMicros = scheduler.nowMicros();
        for (Iterator<Stream> streams = running.values().iterator(); streams.hasNext(); ) {
            Stream stream = streams.next();
            if (stream.promptLeft > 0) {
                continue;
            }
            stream.tokens++;
            stream.request.generatedToken(nowMicros);
            counters.generated++;
            boolean whole = stream.tokens >= stream.request.outputTokens;
            progress.computeIfAbsent(stream.node, n -> new ArrayList<>())
                    .add(new SimNode.TokenCount(stream.id, stream.tokens, whole));
            if (whole) {
                streams.remove();
            }
        }
        progress.forEach((node, counts) -> network.send(name, node.name(), () -> node.tokens(counts)));
        while (running.size() < maxStreams && !queue.isEmpty()) {
            join(queue.poll());
        }
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        scheduleStep();
    }

    @Override
    public void cancel(RequestId id) {
        running.remove(id);
        queue.removeIf(stream -> stream.id.equals(id));
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
        cache.clear();
        stepping = false;
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
