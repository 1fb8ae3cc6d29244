package org.apricotdeal.lab.load;

/**
 * A fault to inject during a run.
 *
 * @param atMillis when, from the start of the run
 * @param address host and port of the stand-in
 * @param body JSON that is posted to {@code /standin/faults}
 */
public record LoadFault(long atMillis, String address, String body) {}
