package org.apricotdeal.standins.service;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Every execution of a service, in order, so that a caller can count how often a request ran. */
final class ExecutionLog {
    private final List<Execution> executions = new ArrayList<>();

    /** One execution. */
    record Execution(int number, String requestId, String idempotencyKey, String method, String path, long atMillis) {}

    synchronized Execution add(String requestId, String idempotencyKey, String method, String path) {
        Execution execution = new Execution(
                executions.size() + 1, requestId, idempotencyKey, method, path, System.currentTimeMillis());
        executions.add(execution);
        return execution;
    }

    synchronized ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode all = json.putArray("executions");
        for (Execution execution : executions) {
            all.addObject()
                    .put("number", execution.number())
                    .put("requestId", execution.requestId())
                    .put("idempotencyKey", execution.idempotencyKey())
                    .put("method", execution.method())
                    .put("path", execution.path())
                    .put("atMillis", execution.atMillis());
        }
        return json;
    }
}
