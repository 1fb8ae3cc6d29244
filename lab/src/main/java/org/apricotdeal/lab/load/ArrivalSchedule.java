package org.apricotdeal.lab.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * When each request of a run is sent: exponential gaps for each work, a function of the seed alone. The schedule does not
 * wait for answers, so that a slow system meets as many requests as a fast one.
 */
public final class ArrivalSchedule {
    private static final double MICROS_PER_SECOND = 1e6;

    private ArrivalSchedule() {}

    /**
     * Computes the schedule of a plan.
     *
     * @param plan the plan
     * @return all requests, in the order of their times
     */
    public static List<Arrival> of(LoadPlan plan) {
        List<Arrival> unnumbered = new ArrayList<>();
        for (int i = 0; i < plan.works().size(); i++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(plan.seed() * 1_000 + i);
            addArrivals(plan.works().get(i), plan.durationMillis() * 1_000, random, unnumbered);
        }
        unnumbered.sort(Comparator.comparingLong(Arrival::atMicros));
        List<Arrival> arrivals = new ArrayList<>(unnumbered.size());
        for (Arrival arrival : unnumbered) {
            arrivals.add(new Arrival(arrivals.size(), arrival.atMicros(), arrival.work(), arrival.prefix()));
        }
        return arrivals;
    }

    private static void addArrivals(Work work, long untilMicros, UniformRandomProvider random, List<Arrival> into) {
        double meanMicros = MICROS_PER_SECOND / work.common().requestsPerSecond();
        ContinuousSampler gaps = ZigguratSampler.Exponential.of(random, meanMicros);
        int prefixes =
                switch (work) {
                    case Work.Completions completions -> completions.prefixes();
                    case Work.Bookings bookings -> 1;
                };
        double atMicros = gaps.sample();
        while (atMicros < untilMicros) {
            into.add(new Arrival(0, (long) atMicros, work, random.nextInt(prefixes)));
            atMicros += gaps.sample();
        }
    }
}
