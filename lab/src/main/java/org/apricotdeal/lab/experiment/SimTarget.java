package org.apricotdeal.lab.experiment;

import org.apricotdeal.kernel.id.RequestId;

/** A simulated replica or service VM. */
interface SimTarget {
    /** Returns the name by which the network knows the target. */
    String name();

    /** Starts or resumes a request after the tokens that it has so far. */
    void start(SimNode node, RequestId id, CallerRequest request, int tokensSoFar);

    /** Stops a request. */
    void cancel(RequestId id);

    /** Returns requests running. */
    int running();

    /** Returns requests in the target's own queue. */
    int waiting();

    /** Loses the target with all its state, or brings it back empty. */
    void setLost(boolean isLost);

    /** Tells whether the target is lost. */
    boolean isLost();

    /** Sets the factor on the time of each step. */
    void setSlowdown(double factor);
}
