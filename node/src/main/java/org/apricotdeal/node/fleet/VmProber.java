package org.apricotdeal.node.fleet;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.Vm;
import org.eclipse.jetty.client.HttpClient;

/**
 * Probes upstream VMs. An engine is asked for its state; a plain service counts as alive if it answers its health path
 * with any status. A probe that fails or times out produces no event.
 */
final class VmProber {
    private static final String SERVICE_PATH = "/healthz";

    private final EngineClient engineClient;
    private final HttpClient httpClient;
    private final Clock clock;
    private final Consumer<FleetEvent> eventSink;

    VmProber(EngineClient engineClient, HttpClient httpClient, Clock clock, Consumer<FleetEvent> eventSink) {
        this.engineClient = engineClient;
        this.httpClient = httpClient;
        this.clock = clock;
        this.eventSink = eventSink;
    }

    void probe(Vm vm, boolean isModel, long timeoutMillis) {
        long sentAtMillis = clock.monotonicMillis();
        if (isModel) {
            var unused = engineClient.state(vm.address(), timeoutMillis).thenAccept(result -> {
                if (result instanceof Result.Ok<EngineState, String>(EngineState state)) {
                    eventSink.accept(new FleetEvent.ProbeAnswered(vm.id(), sentAtMillis, state));
                }
            });
            return;
        }
        httpClient
                .newRequest("http://" + vm.address() + SERVICE_PATH)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .send(result -> {
                    if (result.isSucceeded()) {
                        eventSink.accept(new FleetEvent.ProbeAnswered(vm.id(), sentAtMillis, null));
                    }
                });
    }
}
