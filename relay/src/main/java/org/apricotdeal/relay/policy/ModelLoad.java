package org.apricotdeal.relay.policy;

/**
 * How much a model's replicas have to do, over the whole fleet.
 *
 * @param busySlots requests that they work on, smoothed
 * @param slots requests that they can work on at once
 */
public record ModelLoad(double busySlots, int slots) {
    /** A model of which nothing is known yet. */
    public static final ModelLoad NONE = new ModelLoad(0, 1);

    /**
     * Returns the part of the slots that is in use.
     *
     * @return 0 to about 1; 1 where there are no slots at all
     */
    public double utilization() {
        return slots == 0 ? 1 : busySlots / slots;
    }
}
