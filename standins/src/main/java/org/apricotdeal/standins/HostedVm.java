package org.apricotdeal.standins;

import java.io.IOException;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.standins.engine.EngineSettings;
import org.apricotdeal.standins.engine.EngineStandin;
import org.apricotdeal.standins.server.Exchange;
import org.apricotdeal.standins.server.StandinHandler;
import org.apricotdeal.standins.server.StandinServer;
import org.apricotdeal.standins.server.StandinThreads;
import org.apricotdeal.standins.service.ServiceSettings;
import org.apricotdeal.standins.service.ServiceStandin;

/** One VM that this process hosts; it can be stopped and started again. */
final class HostedVm {
    private final VmSettings settings;
    private final String weightStoreAddress;
    private final Map<VmId, String> addresses;
    private final StandinThreads threads;
    private StandinServer server;
    private AutoCloseable workload;

    HostedVm(VmSettings settings, String weightStoreAddress, Map<VmId, String> addresses, StandinThreads threads) {
        this.settings = settings;
        this.weightStoreAddress = weightStoreAddress;
        this.addresses = addresses;
        this.threads = threads;
    }

    synchronized void start() {
        if (server != null) {
            return;
        }
        switch (settings.workload()) {
            case VmSettings.Engine(EngineSettings engine) -> {
                EngineStandin standin =
                        new EngineStandin(settings.vm().id(), engine, weightStoreAddress, addresses, threads);
                serve(standin, standin, engine.idleTimeoutMillis());
            }
            case VmSettings.Service(ServiceSettings service) -> {
                ServiceStandin standin = new ServiceStandin(settings.vm().id(), service, threads);
                serve(standin, standin, service.idleTimeoutMillis());
            }
            case VmSettings.EntryNode() -> {}
        }
    }

    private void serve(StandinHandler handler, AutoCloseable closeable, long idleTimeoutMillis) {
        workload = closeable;
        server = StandinServer.start(
                threads,
                settings.host(),
                List.of(settings.port()),
                idleTimeoutMillis,
                exchange -> handle(exchange, handler));
    }

    private void handle(Exchange exchange, StandinHandler handler) throws IOException {
        if (!exchange.method().equals("POST") || !exchange.path().equals("/standin/restart")) {
            handler.handle(exchange);
            return;
        }
        JsonNode body = exchange.json();
        long downMillis = body.path("downMillis").asLong();
        exchange.reply(200, JsonNodeFactory.instance.objectNode());
        threads.run(this::stop);
        threads.afterMillis(downMillis, () -> threads.run(this::start));
    }

    synchronized void stop() {
        if (server == null) {
            return;
        }
        try {
            workload.close();
        } catch (Exception e) {
            throw new IllegalStateException("a stand-in could not be stopped", e);
        }
        server.close();
        server = null;
    }
}
