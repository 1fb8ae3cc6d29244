package org.apricotdeal.lab.load;

import java.util.List;

/**
 * What a run sends where.
 *
 * @param name name of the run and of its files
 * @param seed seed of arrivals and prompts
 * @param durationMillis time during which requests arrive
 * @param drainMillis time after that for answers still to come
 * @param nodes addresses of the nodes' ports for callers
 * @param direct addresses of upstreams, by which a direct run bypasses the nodes
 * @param services addresses of service stand-ins, whose executions are counted after the run; may be empty
 * @param works the requests
 * @param faults the faults, in any order
 */
public record LoadPlan(
        String name,
        long seed,
        long durationMillis,
        long drainMillis,
        List<String> nodes,
        List<String> direct,
        List<String> services,
        List<Work> works,
        List<LoadFault> faults) {
    /** Copies the lists. */
    public LoadPlan {
        nodes = List.copyOf(nodes);
        direct = List.copyOf(direct);
        services = List.copyOf(services);
        works = List.copyOf(works);
        faults = List.copyOf(faults);
    }
}
