package org.apricotdeal.lab.experiment;

/**
 * A flood: one stream of requests, or one caller of it, asks for a multiple for some time.
 *
 * @param load name of the stream
 * @param caller name of the caller that floods; empty where all callers of the stream do
 * @param capacityShare offered load of the flooding stream as a share of the upstream's capacity; for a caller, the factor
 *     on its ordinary load
 * @param fromSeconds start, from the start of the run
 * @param forSeconds duration
 */
public record FloodSpec(String load, String caller, double capacityShare, long fromSeconds, long forSeconds) {}
