package org.apricotdeal.relay.policy;

/**
 * Identifies one attempt of an exchange. Events of an attempt can still be on their way when the dispatcher has already
 * replaced it, so each event names the attempt that it belongs to.
 *
 * @param exchange exchange of the attempt
 * @param number number of the attempt within the exchange, from 1; unlike the attempts that count for the limit of the
 * route, it also counts attempts that were never sent
 */
public record AttemptId(ExchangeId exchange, int number) {}
