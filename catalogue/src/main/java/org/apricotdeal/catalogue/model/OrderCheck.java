package org.apricotdeal.catalogue.model;

/** What an upstream's engines do with an order that carries an old fencing number. */
public enum OrderCheck {
    /** Engines refuse it. */
    HONOURS_FENCING,
    /** Engines carry it out all the same; the planner has to read back their state. */
    IGNORES_FENCING
}
