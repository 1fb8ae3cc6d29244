package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.relay.model.Customer;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RequestSize;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.port.ExchangeHeaders;
import org.apricotdeal.relay.port.PlatformAdapter;
import org.eclipse.jetty.http.HttpHeader;

/** Reads from the headers of a request what decides how it is served: customer, class, model, size and deadline. */
final class ArrivalReader {
    private final PlatformAdapter adapter;
    private final ExchangeHeaders headerNames;

    /**
     * Creates a reader.
     *
     * @param adapter the platform's names of headers
     */
    ArrivalReader(PlatformAdapter adapter) {
        this.adapter = adapter;
        this.headerNames = adapter.headers();
    }

    /**
     * Returns the customer whose key a request has.
     *
     * @param headers value of a header by its name; null if there is none
     * @param catalogue catalogue in force
     * @return the customer; empty if the key is missing or unknown
     */
    Optional<Customer> customer(UnaryOperator<String> headers, RelayCatalogue catalogue) {
        String authorization = headers.apply(HttpHeader.AUTHORIZATION.asString());
        String scheme = headerNames.keyScheme() + " ";
        boolean matches = authorization != null && authorization.regionMatches(true, 0, scheme, 0, scheme.length());
        return matches
                ? catalogue.customer(authorization.substring(scheme.length()).trim())
                : Optional.empty();
    }

    /**
     * Reads a request that a route has matched.
     *
     * @param id exchange of the request
     * @param headers value of a header by its name; null if there is none
     * @param catalogue catalogue in force
     * @param route the route
     * @param upstream upstream that was chosen for the request
     * @param customer the customer
     * @param arrivedMillis monotonic time of its arrival
     * @return the request as the dispatcher sees it
     */
    Arrival arrival(
            ExchangeId id,
            UnaryOperator<String> headers,
            RelayCatalogue catalogue,
            RouteEntry route,
            UpstreamId upstream,
            Optional<Customer> customer,
            long arrivedMillis) {
        UpstreamEntry entry = catalogue.upstreams().get(upstream);
        boolean engine = entry != null && entry.engine().isPresent();
        Optional<ModelId> model = Optional.ofNullable(headers.apply(headerNames.model()))
                .filter(name -> engine && Names.isValid(name))
                .map(ModelId::new);
        long waitMillis = Math.min(route.timeoutMillis(), remainingMillis(headers));
        int priority = customer.map(Customer::priority)
                .filter(own -> own.isPresent())
                .map(own -> own.getAsInt())
                .orElse(route.priority());
        return new Arrival(
                id,
                new QueueId(upstream, model),
                route,
                model.isEmpty() ? List.of() : sharedParts(headers),
                customer.map(Customer::name).orElse(""),
                priority,
                arrivedMillis,
                arrivedMillis + waitMillis,
                model.isEmpty() ? Optional.empty() : statedSize(headers),
                Optional.empty());
    }

    private Optional<RequestSize> statedSize(UnaryOperator<String> headers) {
        return adapter.requestSize(
                headers.apply(headerNames.tokenCounts()), headers.apply(headerNames.answerTokensHint()));
    }

    private List<PromptPartId> sharedParts(UnaryOperator<String> headers) {
        String parts = headers.apply(headerNames.promptParts());
        return parts == null ? List.of() : adapter.sharedPromptParts(parts);
    }

    private long remainingMillis(UnaryOperator<String> headers) {
        String text = headers.apply(headerNames.remainingMillis());
        if (text == null) {
            return Long.MAX_VALUE / 2;
        }
        try {
            return Math.max(0, (long) Double.parseDouble(text.trim()));
        } catch (NumberFormatException e) {
            // A caller that names no valid time waits as long as the route allows.
            return Long.MAX_VALUE / 2;
        }
    }
}
