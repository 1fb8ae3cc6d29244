package org.apricotdeal.lab.experiment;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.policy.admission.AdmissionOptions;
import org.apricotdeal.policy.routing.AffinityRouter;
import org.apricotdeal.policy.routing.LeastInFlightRouter;
import org.apricotdeal.policy.routing.RoundRobinRouter;
import org.apricotdeal.policy.routing.Router;
import org.apricotdeal.policy.routing.TwoChoicesRouter;

/** The system itself, and the baselines that it is compared with in the same run. */
public enum Variant {
    /** Everything on. */
    DEFAULT,
    /** Routing by turns. */
    ROUND_ROBIN,
    /** Routing to the fewest own requests. */
    LEAST_IN_FLIGHT,
    /** Routing to the less loaded of two random targets. */
    TWO_CHOICES,
    /** One queue in the order of arrival. */
    FIFO,
    /** Requests are refused only where the queue is full or their deadline has passed. */
    NO_EARLY_REFUSAL;

    /**
     * Creates the variant's router.
     *
     * @param random seeded source
     * @return a new router
     */
    public Router newRouter(UniformRandomProvider random) {
        return switch (this) {
            case ROUND_ROBIN -> new RoundRobinRouter();
            case LEAST_IN_FLIGHT -> new LeastInFlightRouter();
            case TWO_CHOICES -> new TwoChoicesRouter(random);
            case DEFAULT, FIFO, NO_EARLY_REFUSAL -> new AffinityRouter(random);
        };
    }

    /**
     * Returns the parts of the dispatcher that the variant has.
     *
     * @return the options
     */
    public AdmissionOptions options() {
        return switch (this) {
            case FIFO -> AdmissionOptions.FIFO;
            case NO_EARLY_REFUSAL -> new AdmissionOptions(true, true, false, true, true);
            case DEFAULT, ROUND_ROBIN, LEAST_IN_FLIGHT, TWO_CHOICES -> AdmissionOptions.DEFAULT;
        };
    }

    /**
     * Returns the name used in tables.
     *
     * @return lower case with dashes
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
