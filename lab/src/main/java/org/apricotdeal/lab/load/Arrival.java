package org.apricotdeal.lab.load;

/**
 * One request that is to be sent.
 *
 * @param number number of the request in the run, from 0
 * @param atMicros when, from the start of the run
 * @param work the work that it belongs to
 * @param prefix number of the prompt's beginning
 */
public record Arrival(int number, long atMicros, Work work, int prefix) {}
