package org.apricotdeal.lab.soak;

/**
 * A caller's request in a run with bookings.
 *
 * @param subject what is booked; unique for each booking, equal in all its copies
 * @param key the idempotency key, or null where the caller sends none
 * @param payload the body; copies of one booking have the same
 * @param repeatable whether the request only reads
 */
record BookingRequest(String subject, String key, String payload, boolean repeatable) {}
