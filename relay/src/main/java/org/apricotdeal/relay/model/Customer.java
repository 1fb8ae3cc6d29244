package org.apricotdeal.relay.model;

import java.util.OptionalInt;

/**
 * A customer, identified by any of its keys.
 *
 * @param name name of the customer
 * @param priority priority that overrides the priority of the route, if present; 0 is the highest
 */
public record Customer(String name, OptionalInt priority) {}
