package org.apricotdeal.relay.port;

/**
 * Names of the headers that a pass-through exchange reads or sets.
 *
 * @param requestId id of one attempt of a caller; echoed in the answer
 * @param remainingMillis how long the caller, or a node before a VM, will wait
 * @param lastEventId last event of a stream that the caller has
 * @param model model that the request is for
 * @param tokenCounts prompt tokens and most answer tokens
 * @param customer customer that the key belongs to
 * @param targetVm VM that alone may run the request
 * @param urgency rank at the engine, 0 first
 * @param signature proof that an answer is a VM's
 * @param notRun set by a VM that did not run the request
 * @param load requests running and waiting at a VM, and its slots
 * @param faultyVm VM of a replica that could not work
 * @param keyScheme scheme before the key in the authorization header
 */
public record ExchangeHeaders(
        String requestId,
        String remainingMillis,
        String lastEventId,
        String model,
        String tokenCounts,
        String customer,
        String targetVm,
        String urgency,
        String signature,
        String notRun,
        String load,
        String faultyVm,
        String keyScheme) {}
