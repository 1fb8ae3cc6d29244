package org.apricotdeal.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.standins.server.StandinThreads;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;

/** One load of weights: waits until the weight store has room, then takes the time that loading takes. */
final class WeightLoad {
    private static final long RETRY_MILLIS = 100;
    private static final long ANSWER_TIMEOUT_MILLIS = 1_000;

    private final VmId vm;
    private final String storeAddress;
    private final long loadMillis;
    private final StandinThreads threads;
    private final BooleanSupplier isWanted;
    private final Runnable onLoaded;

    /**
     * Creates a load.
     *
     * @param vm the VM that loads
     * @param storeAddress host and port of the weight store; empty where none limits loads
     * @param loadMillis time that the load takes
     * @param threads shared threads
     * @param isWanted false once the load is given up
     * @param onLoaded what to do when the weights are in memory
     */
    WeightLoad(
            VmId vm,
            String storeAddress,
            long loadMillis,
            StandinThreads threads,
            BooleanSupplier isWanted,
            Runnable onLoaded) {
        this.vm = vm;
        this.storeAddress = storeAddress;
        this.loadMillis = loadMillis;
        this.threads = threads;
        this.isWanted = isWanted;
        this.onLoaded = onLoaded;
    }

    void start() {
        if (!isWanted.getAsBoolean()) {
            return;
        }
        if (storeAddress.isEmpty()) {
            threads.afterMillis(loadMillis, onLoaded);
            return;
        }
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("vm", vm.value()).put("loadMillis", loadMillis);
        threads.client()
                .newRequest("http://" + storeAddress + "/weights/loads")
                .method("POST")
                .timeout(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent(
                        "application/json", body.toString().getBytes(StandardCharsets.UTF_8)))
                .send(this::takeAnswer);
    }

    private void takeAnswer(Result result) {
        boolean hasRoom = result.isSucceeded() && result.getResponse().getStatus() == HttpStatus.OK_200;
        if (hasRoom) {
            threads.afterMillis(loadMillis, onLoaded);
        } else {
            threads.afterMillis(RETRY_MILLIS, this::start);
        }
    }
}
