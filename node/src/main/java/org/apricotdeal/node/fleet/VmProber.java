package org.apricotdeal.node.fleet;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.Vm;
import org.eclipse.jetty.client.HttpClient;

/** Probes upstream VMs: engines for their state, plain services for any answer at all. Silence is reported as nothing. */
final class VmProber {
    private static final String SERVICE_PATH = "/healthz";

    private final EngineClient engines;
    private final HttpClient client;
    private final Clock clock;
    private final Consumer<FleetEvent> sink;

    VmProber(EngineClient engines, HttpClient client, Clock clock, Consumer<FleetEvent> sink) {
        this.engines = engines;
        this.client = client;
        this.clock = clock;
        this.sink = sink;
    }

    void probe(Vm vm, boolean isModel, long timeoutMillis) {
        long sentAtMillis = clock.monotonicMillis();
        if (isModel) {
            var unused = engines.state(vm.address(), timeoutMillis).thenAccept(result -> {
                if (result instanceof Result.Ok<EngineState, String>(EngineState state)) {
                    sink.accept(new FleetEvent.Answered(vm.id(), sentAtMillis, state));
                }
            });
            return;
        }
        client.newRequest("http://" + vm.address() + SERVICE_PATH)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .send(result -> {
                    if (result.isSucceeded()) {
                        sink.accept(new FleetEvent.Answered(vm.id(), sentAtMillis, null));
                    }
                });
    }
}
