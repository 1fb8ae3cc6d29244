package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.model.RequestSize;
import org.apricotdeal.relay.model.RequestTrait;
import org.apricotdeal.relay.model.RouteEntry;

/**
 * A request that has been read completely and awaits admission.
 *
 * @param id exchange of the request
 * @param queue queue that the request waits in
 * @param route route that matched the request
 * @param sharedParts parts of the prompt that other requests may have in common; empty for plain services
 * @param customer name of the customer; empty if none is required
 * @param priority priority of the request; 0 is the highest
 * @param arrivedMillis monotonic time at which the headers had been read
 * @param deadlineMillis monotonic time by which the final answer is due
 * @param size size that the caller states; empty for plain services and if it is not stated
 * @param digest digest of the whole request; empty if it is not known
 */
public record Arrival(
        ExchangeId id,
        QueueId queue,
        RouteEntry route,
        List<PromptPartId> sharedParts,
        String customer,
        int priority,
        long arrivedMillis,
        long deadlineMillis,
        Optional<RequestSize> size,
        Optional<RequestDigest> digest) {
    /** Copies the list. */
    public Arrival {
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * Creates a request of unknown size.
     *
     * @param id exchange of the request
     * @param queue queue that the request waits in
     * @param route route that matched the request
     * @param sharedParts parts of the prompt that other requests may have in common; empty for plain services
     * @param customer name of the customer; empty if none is required
     * @param priority priority of the request; 0 is the highest
     * @param arrivedMillis monotonic time at which the headers had been read
     * @param deadlineMillis monotonic time by which the final answer is due
     */
    public Arrival(
            ExchangeId id,
            QueueId queue,
            RouteEntry route,
            List<PromptPartId> sharedParts,
            String customer,
            int priority,
            long arrivedMillis,
            long deadlineMillis) {
        this(
                id,
                queue,
                route,
                sharedParts,
                customer,
                priority,
                arrivedMillis,
                deadlineMillis,
                Optional.empty(),
                Optional.empty());
    }

    /**
     * Returns the request with a stated size.
     *
     * @param stated size that the caller states
     * @return request that differs in its size only
     */
    public Arrival withSize(RequestSize stated) {
        return with(Optional.of(stated), digest);
    }

    /**
     * Returns the request with the digest of its content.
     *
     * @param content digest of the whole request
     * @return request that differs in its digest only
     */
    public Arrival withDigest(RequestDigest content) {
        return with(size, Optional.of(content));
    }

    private Arrival with(Optional<RequestSize> newSize, Optional<RequestDigest> newDigest) {
        return new Arrival(
                id, queue, route, sharedParts, customer, priority, arrivedMillis, deadlineMillis, newSize, newDigest);
    }

    /**
     * Returns what the request may have in common with others.
     *
     * @return shared parts of the prompt, and the digest if it is known
     */
    public List<RequestTrait> traits() {
        List<RequestTrait> traits = new ArrayList<>(sharedParts);
        digest.ifPresent(traits::add);
        return traits;
    }
}
