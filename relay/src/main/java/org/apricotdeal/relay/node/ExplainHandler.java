package org.apricotdeal.relay.node;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.model.Customer;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.model.WeightedUpstream;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.RequestExplanation;
import org.apricotdeal.relay.port.PlatformAdapter;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** Answers an operator who asks where a request would go now and why; the request is not sent. */
final class ExplainHandler {
    /** Path of the question. */
    static final String PATH = "/admin/explain";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ExchangeId NOT_SENT = new ExchangeId(-1);
    private static final Set<String> FIELDS = Set.of("host", "path", "key", "header", "digest");

    private final RelaySettings settings;
    private final CatalogueHolder catalogues;
    private final RelayDuty relay;
    private final Clock clock;
    private final ArrivalReader reader;
    private final String keyScheme;

    ExplainHandler(
            RelaySettings settings, CatalogueHolder catalogues, PlatformAdapter adapter, RelayDuty relay, Clock clock) {
        this.settings = settings;
        this.catalogues = catalogues;
        this.relay = relay;
        this.clock = clock;
        this.reader = new ArrivalReader(adapter);
        this.keyScheme = adapter.headers().keyScheme();
    }

    boolean handle(Request request, Response response, Callback callback) {
        Fields query = Request.extractQueryParameters(request);
        Optional<String> finding = finding(query);
        if (finding.isPresent()) {
            answer(response, callback, HttpStatus.BAD_REQUEST_400, error(finding.get()));
            return true;
        }
        ObjectNode root = JSON.createObjectNode().put("node", settings.name());
        Optional<Arrival> arrival = arrival(query, root);
        if (arrival.isEmpty()) {
            answer(response, callback, HttpStatus.OK_200, root);
            return true;
        }
        Optional<RequestDigest> digest =
                Optional.ofNullable(query.getValue("digest")).flatMap(ExplainHandler::parseDigest);
        String route = arrival.get().route().name();
        if (digest.isPresent() && !digest.get().isOfRoute(route)) {
            String text = "digest: found one of route \"" + digest.get().route() + "\", but the request is of route \""
                    + route + "\"";
            answer(response, callback, HttpStatus.BAD_REQUEST_400, error(text));
            return true;
        }
        Arrival asked = digest.map(arrival.get()::withDigest).orElse(arrival.get());
        var unused = relay.explain(asked).whenComplete((explanation, failure) -> {
            if (failure == null) {
                add(root, explanation);
                answer(response, callback, HttpStatus.OK_200, root);
            } else {
                answer(response, callback, HttpStatus.INTERNAL_SERVER_ERROR_500, error(failure.toString()));
            }
        });
        return true;
    }

    /** Returns which field of the question is wrong, and why. */
    private static Optional<String> finding(Fields query) {
        for (Fields.Field field : query) {
            if (!FIELDS.contains(field.getName())) {
                return Optional.of(field.getName() + ": unknown, expected one of host, path, key, header and digest");
            }
        }
        String path = query.getValue("path");
        if (query.getValue("host") == null || query.getValue("host").isBlank()) {
            return Optional.of("host: missing; the route depends on it");
        }
        if (path == null || !path.startsWith("/")) {
            return Optional.of(
                    "path: found \"" + (path == null ? "" : path) + "\", expected a path that begins with /");
        }
        for (String header : query.getValuesOrEmpty("header")) {
            if (header.indexOf(':') <= 0) {
                return Optional.of("header: found \"" + header + "\", expected NAME: VALUE");
            }
        }
        String digest = query.getValue("digest");
        if (digest != null && parseDigest(digest).isEmpty()) {
            return Optional.of(
                    "digest: found \"" + digest + "\", expected ROUTE#HASH with a hash of 32 hexadecimal digits");
        }
        return Optional.empty();
    }

    private static Optional<RequestDigest> parseDigest(String text) {
        try {
            return Optional.of(RequestDigest.parse(text));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private Map<String, String> headers(Fields query) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String header : query.getValuesOrEmpty("header")) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).trim(),
                    header.substring(colon + 1).trim());
        }
        String key = query.getValue("key");
        if (key != null) {
            headers.put(HttpHeader.AUTHORIZATION.asString(), keyScheme + " " + key);
        }
        return headers;
    }

    /** Finds the route and the customer; says in the answer what it found, or why the request would be rejected. */
    private Optional<Arrival> arrival(Fields query, ObjectNode root) {
        Map<String, String> headers = headers(query);
        Optional<RelayCatalogue> catalogue = catalogues.current();
        Optional<RouteEntry> route =
                catalogue.flatMap(current -> current.route(query.getValue("host"), query.getValue("path")));
        if (route.isEmpty()) {
            root.put("verdict", "reject").put("reason", catalogue.isEmpty() ? "no catalogue" : "no route");
            return Optional.empty();
        }
        Optional<Customer> customer = reader.customer(headers::get, catalogue.get());
        root.put("catalogueVersion", catalogue.get().version());
        root.put("route", route.get().name());
        root.put("customer", customer.map(Customer::name).orElse(""));
        if (catalogue.get().keysRequired() && !route.get().keyless() && customer.isEmpty()) {
            root.put("verdict", "reject").put("reason", "unknown key");
            return Optional.empty();
        }
        WeightedUpstream upstream = route.get().upstreams().stream()
                .max(Comparator.comparingDouble(WeightedUpstream::weight))
                .orElseThrow();
        Arrival arrival = reader.arrival(
                NOT_SENT,
                headers::get,
                catalogue.get(),
                route.get(),
                upstream.upstream(),
                customer,
                clock.monotonicMillis());
        root.put("class", arrival.priority());
        root.put("line", arrival.queue().toString());
        root.put("objectiveMillis", route.get().objectiveMillis());
        root.put("remainingMillis", arrival.deadlineMillis() - arrival.arrivedMillis());
        return Optional.of(arrival);
    }

    private static void add(ObjectNode root, RequestExplanation found) {
        root.put("verdict", found.verdict().name().toLowerCase(Locale.ROOT));
        root.put(
                "reason",
                found.reason()
                        .map(reason -> reason.name().toLowerCase(Locale.ROOT))
                        .orElse(""));
        root.put("target", found.target().map(Object::toString).orElse(""));
        root.put("returningCaller", found.returningCaller());
        root.put("waiting", found.waiting());
        root.put("freeSlots", found.freeSlots());
        root.put("usableSlots", found.usableSlots());
        root.put("predictedWaitMillis", found.predictedWaitMillis());
        root.put("maxWaitMillis", found.maxWaitMillis());
        long sentMillis = Math.max(0, found.predictedWaitMillis());
        root.put("predictedStartMillis", sentMillis + found.startMillis());
        root.put("predictedEndMillis", sentMillis + found.slotMillis());
        ArrayNode candidates = root.putArray("candidates");
        List<RequestExplanation.Candidate> sorted = found.candidates().stream()
                .sorted(Comparator.comparing((RequestExplanation.Candidate candidate) ->
                                !candidate.bar().equals("none"))
                        .thenComparingDouble(RequestExplanation.Candidate::rating))
                .toList();
        for (RequestExplanation.Candidate candidate : sorted) {
            candidates
                    .addObject()
                    .put("target", candidate.target().id().toString())
                    .put("failureDomain", candidate.target().failureDomain().value())
                    .put("bar", candidate.bar())
                    .put("home", candidate.home())
                    .put("slots", candidate.target().slots())
                    .put("running", candidate.running())
                    .put("load", candidate.load())
                    .put("loadAgeMillis", candidate.loadAgeMillis())
                    .put("rating", Math.round(candidate.rating() * 1_000) / 1_000.0);
        }
    }

    private static ObjectNode error(String text) {
        return JSON.createObjectNode().put("error", text);
    }

    private static void answer(Response response, Callback callback, int status, ObjectNode root) {
        RelayServer.answer(response, callback, status, "application/json", root.toString());
    }
}
