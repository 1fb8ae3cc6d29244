package org.apricotdeal.relay.model;

import java.util.OptionalInt;

/**
 * A customer, found by one of its keys.
 *
 * @param name its name
 * @param priority rank that goes before the route's, where it has one
 */
public record Customer(String name, OptionalInt priority) {}
