package org.apricotdeal.node.fleet;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.Vm;
import org.eclipse.jetty.client.HttpClient;

/** Probes upstream VMs: engines for their state, plain services for any answer at all. */
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
            var unused = engines.state(vm.address(), timeoutMillis)
                    .thenAccept(result -> sink.accept(
                            switch (result) {
                                case Result.Ok<EngineState, String>(EngineState state) ->
                                    new FleetEvent.Answered(vm.id(), sentAtMillis, state);
                                case Result.Err<EngineState, String> error -> new FleetEvent.Silent(vm.id());
                            }));
            return;
        }
        client.newRequest("http://" + vm.address() + SERVICE_PATH)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .send(result -> sink.accept(
                        result.isFailed()
                                ? new FleetEvent.Silent(vm.id())
                                : new FleetEvent.Answered(vm.id(), sentAtMillis, null)));
    }
}
