package org.apricotdeal.relay.port;

/**
 * Names of the headers that a pass-through exchange reads or sets, and the authorization scheme.
 *
 * @param requestId id of one attempt of a caller; echoed in the response
 * @param remainingMillis time that the sender will wait for the response: the caller, or the node that forwards to a VM
 * @param lastEventId id of the last stream event that the caller has received
 * @param model model that the request is for
 * @param tokenCounts number of prompt tokens and maximum number of response tokens
 * @param answerTokensHint caller's estimate of the number of response tokens
 * @param promptParts parts of the prompt, in order
 * @param customer customer that owns the key
 * @param targetVm the only VM that may run the request
 * @param priority scheduling priority at the engine; 0 runs first
 * @param signature proof that the response comes from a VM
 * @param notRun set by a VM that did not run the request
 * @param leaving set by a VM that leaves
 * @param load number of running and of waiting requests at a VM, and its number of slots
 * @param faultyAddress address of the VM that made a replica fail
 * @param keyScheme scheme that precedes the key in the authorization header
 */
public record ExchangeHeaders(
        String requestId,
        String remainingMillis,
        String lastEventId,
        String model,
        String tokenCounts,
        String answerTokensHint,
        String promptParts,
        String customer,
        String targetVm,
        String priority,
        String signature,
        String notRun,
        String leaving,
        String load,
        String faultyAddress,
        String keyScheme) {}
