package org.apricotdeal.lab.experiment;

/**
 * A scripted fault.
 *
 * @param kind what it does
 * @param failureDomain name of the failure domain
 * @param replicas replicas affected, counted from the domain's first
 * @param slowdown factor on the time of each step, for stragglers
 * @param atSeconds start, from the start of the run
 * @param forSeconds time until repair
 */
public record FaultSpec(
        FaultKind kind, String failureDomain, int replicas, double slowdown, long atSeconds, long forSeconds) {}
