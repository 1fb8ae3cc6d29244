package org.apricotdeal.lab.load;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.eclipse.jetty.client.HttpClient;

/**
 * How often the bookings of a run were executed, as the service stand-ins have logged it.
 *
 * @param executed bookings that ran
 * @param repeated bookings that ran more than once
 * @param unreadable addresses whose log could not be read
 */
record ExecutionCount(int executed, int repeated, List<String> unreadable) {
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Copies the list. */
    ExecutionCount {
        unreadable = List.copyOf(unreadable);
    }

    static ExecutionCount read(LoadPlan plan, HttpClient client) {
        Map<String, Integer> byKey = new HashMap<>();
        List<String> unreadable = new java.util.ArrayList<>();
        String prefix = plan.name() + "-" + plan.seed() + "-";
        for (String address : plan.services()) {
            try {
                byte[] answer = client.newRequest("http://" + address + "/standin/executions")
                        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .send()
                        .getContent();
                for (JsonNode execution : JSON.readTree(answer).path("executions")) {
                    String key = execution.path("idempotencyKey").asText();
                    if (key.startsWith(prefix)) {
                        byKey.merge(key, 1, Integer::sum);
                    }
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                unreadable.add(address);
            } catch (IOException | ExecutionException | TimeoutException e) {
                unreadable.add(address);
            }
        }
        int repeated = (int) byKey.values().stream().filter(times -> times > 1).count();
        return new ExecutionCount(byKey.size(), repeated, unreadable);
    }
}
