package org.apricotdeal.standins.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;
import org.apricotdeal.engine.CompletionRequest;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.http.HttpClients;
import org.apricotdeal.http.HttpEngineClient;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.eclipse.jetty.client.HttpClient;

/**
 * The command {@code engine-load ADDRESS}: makes the stand-in at an address a replica of its own, starts streams at the same
 * time, verifies every token, and prints the rate and the times to the first token and between tokens.
 */
public final class EngineLoadCommand {
    private static final int EXIT_OK = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 64;
    private static final long CALL_TIMEOUT_MILLIS = 5_000;
    private static final long WEIGHTS_TIMEOUT_MILLIS = 60_000;
    private static final long POLL_MILLIS = 20;
    private static final long STREAMS_TIMEOUT_MINUTES = 10;
    private static final double PERCENTILE = 95;
    private static final UpstreamId MODEL = new UpstreamId("load-test");

    private final PrintStream out;
    private final PrintStream err;

    /**
     * Creates the command.
     *
     * @param out takes the result
     * @param err takes usage errors and failures
     */
    public EngineLoadCommand(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Runs the command.
     *
     * @param arguments command line after the command's name
     * @return exit code
     */
    public int run(List<String> arguments) {
        OptionParser parser = new OptionParser();
        OptionSpec<Integer> streams = parser.accepts("streams")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(500);
        OptionSpec<Integer> tokens =
                parser.accepts("tokens").withRequiredArg().ofType(Integer.class).defaultsTo(400);
        OptionSpec<String> credential =
                parser.accepts("credential").withRequiredArg().defaultsTo("");
        OptionSpec<String> address = parser.nonOptions();
        OptionSet options;
        try {
            options = parser.parse(arguments.toArray(new String[0]));
        } catch (OptionException e) {
            err.println(e.getMessage());
            return EXIT_USAGE;
        }
        if (options.valuesOf(address).size() != 1) {
            err.println("usage: engine-load ADDRESS [--streams N] [--tokens N] [--credential TEXT]");
            return EXIT_USAGE;
        }
        HttpClient client = HttpClients.start("engine-load", CALL_TIMEOUT_MILLIS);
        try {
            HttpEngineClient engines = new HttpEngineClient(client);
            String engine = options.valueOf(address);
            formReplica(engines, engine, options.valueOf(credential));
            return load(engines, engine, options.valueOf(streams), options.valueOf(tokens));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return EXIT_FAILED;
        } catch (IllegalStateException e) {
            err.println(e.getMessage());
            return EXIT_FAILED;
        } finally {
            HttpClients.stop(client);
        }
    }

    private static void formReplica(HttpEngineClient engines, String address, String credential)
            throws InterruptedException {
        EngineState before = state(engines, address);
        VmId vm = before.vm();
        long fence = before.fence() + 1;
        order(engines, address, credential, new Order.Release(vm, fence));
        order(engines, address, credential, new Order.Load(vm, fence, MODEL));
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WEIGHTS_TIMEOUT_MILLIS);
        while (!MODEL.equals(state(engines, address).loadedModel())) {
            if (System.nanoTime() - endNanos > 0) {
                throw new IllegalStateException("the weights were not loaded in time");
            }
            Thread.sleep(POLL_MILLIS);
        }
        order(engines, address, credential, new Order.Join(vm, fence, MODEL, new ReplicaId("load"), 1, List.of(vm)));
    }

    private static EngineState state(HttpEngineClient engines, String address) {
        return switch (engines.state(address, CALL_TIMEOUT_MILLIS).join()) {
            case Result.Ok<EngineState, String>(EngineState state) -> state;
            case Result.Err<EngineState, String>(String detail) -> throw new IllegalStateException(detail);
        };
    }

    private static void order(HttpEngineClient engines, String address, String credential, Order order) {
        OrderOutcome outcome =
                engines.order(address, credential, order, CALL_TIMEOUT_MILLIS).join();
        if (!(outcome instanceof OrderOutcome.Accepted)) {
            throw new IllegalStateException(order + ": " + outcome);
        }
    }

    private int load(HttpEngineClient engines, String address, int streams, int tokens) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(streams);
        List<StreamRecorder> recorders = new ArrayList<>();
        long startNanos = System.nanoTime();
        for (int i = 0; i < streams; i++) {
            String prompt = "stream " + i;
            StreamRecorder recorder = new StreamRecorder(prompt, tokens, ended);
            recorders.add(recorder);
            RequestId id = new RequestId("load-" + i);
            var unused =
                    engines.stream(address, new CompletionRequest(id, MODEL, prompt, tokens, 0, List.of()), recorder);
        }
        if (!ended.await(STREAMS_TIMEOUT_MINUTES, TimeUnit.MINUTES)) {
            throw new IllegalStateException(ended.getCount() + " streams did not end");
        }
        return report(recorders, System.nanoTime() - startNanos);
    }

    private int report(List<StreamRecorder> recorders, long elapsedNanos) {
        Histogram firstTokenMicros = new Histogram(2);
        Histogram gapMicros = new Histogram(2);
        long tokens = 0;
        long failed = 0;
        Optional<String> firstFailure = Optional.empty();
        for (StreamRecorder recorder : recorders) {
            recorder.addTo(firstTokenMicros, gapMicros);
            tokens += recorder.tokens();
            if (!recorder.failure().isEmpty()) {
                failed++;
                firstFailure = firstFailure.or(() -> Optional.of(recorder.failure()));
            }
        }
        double seconds = (double) elapsedNanos / TimeUnit.SECONDS.toNanos(1);
        out.printf(
                Locale.ROOT,
                "streams %d, failed %d, tokens %d, tokens/s %.0f%n",
                recorders.size(),
                failed,
                tokens,
                tokens / seconds);
        print("first token", firstTokenMicros);
        print("between tokens", gapMicros);
        firstFailure.ifPresent(err::println);
        return failed == 0 ? EXIT_OK : EXIT_FAILED;
    }

    private void print(String what, Histogram micros) {
        out.printf(
                Locale.ROOT,
                "%s: median %.1f ms, 95%% %.1f ms, longest %.1f ms%n",
                what,
                micros.getValueAtPercentile(50) / 1_000.0,
                micros.getValueAtPercentile(PERCENTILE) / 1_000.0,
                micros.getMaxValue() / 1_000.0);
    }
}
