package org.apricotdeal.standins.service;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.standins.server.Exchange;
import org.apricotdeal.standins.server.StandinHandler;
import org.apricotdeal.standins.server.StandinThreads;
import org.apricotdeal.standins.server.UpstreamFaults;

/**
 * Stand-in for a plain service. Any request is executed, each time it arrives; the answer names the execution and gives the
 * request's body back.
 */
public final class ServiceStandin implements StandinHandler, AutoCloseable {
    private final VmId vm;
    private final ServiceSettings settings;
    private final StandinThreads threads;
    private final UpstreamFaults faults;
    private final ExecutionLog log = new ExecutionLog();
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;
    private volatile boolean isClosed;

    /**
     * Creates a service that has executed nothing.
     *
     * @param vm the VM
     * @param settings its settings
     * @param threads shared threads
     */
    public ServiceStandin(VmId vm, ServiceSettings settings, StandinThreads threads) {
        this.vm = vm;
        this.settings = settings;
        this.threads = threads;
        this.faults = new UpstreamFaults(vm.value().hashCode());
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        String call = exchange.method() + " " + exchange.path();
        if (call.equals("POST /standin/faults")) {
            faults.apply(exchange.json());
            exchange.reply(200, JsonNodeFactory.instance.objectNode());
            return;
        }
        if (call.equals("GET /standin/executions")) {
            exchange.reply(200, log.json());
            return;
        }
        if (faults.isSilent(exchange)) {
            exchange.leaveSilent();
            return;
        }
        if (call.equals("GET /healthz")) {
            exchange.reply(200, JsonNodeFactory.instance.objectNode());
            return;
        }
        byte[] body = exchange.body();
        if (faults.drawDiesBeforeRun()) {
            exchange.cutOff();
            return;
        }
        threads.afterMillis(faults.pausedMillis(), () -> begin(() -> execute(exchange, body)));
    }

    private void begin(Runnable execution) {
        synchronized (this) {
            if (running >= settings.maxRunning()) {
                waiting.addLast(execution);
                return;
            }
            running++;
        }
        execution.run();
    }

    private void execute(Exchange exchange, byte[] body) {
        if (isClosed) {
            return;
        }
        ExecutionLog.Execution execution = log.add(
                exchange.header("x-request-id"),
                exchange.header("idempotency-key"),
                exchange.method(),
                exchange.path());
        long durationMillis = Math.round(settings.latencyMillis() * faults.slowFactor());
        threads.afterMillis(durationMillis, () -> {
            answer(exchange, execution, body);
            finish();
        });
    }

    private void answer(Exchange exchange, ExecutionLog.Execution execution, byte[] body) {
        if (isClosed || faults.isSilent(exchange)) {
            return;
        }
        if (faults.drawDiesAfterRun()) {
            exchange.cutOff();
            return;
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("vm", vm.value());
        json.put("execution", execution.number());
        json.put("requestId", execution.requestId());
        json.put("body", new String(body, StandardCharsets.UTF_8));
        exchange.reply(200, json);
    }

    private void finish() {
        Runnable next;
        synchronized (this) {
            next = waiting.pollFirst();
            if (next == null) {
                running--;
                return;
            }
        }
        next.run();
    }

    /**
     * Returns the faults.
     *
     * @return the faults, which can be changed
     */
    public UpstreamFaults faults() {
        return faults;
    }

    @Override
    public void close() {
        isClosed = true;
    }
}
