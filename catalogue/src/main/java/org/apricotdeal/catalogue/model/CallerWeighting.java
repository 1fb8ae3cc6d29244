package org.apricotdeal.catalogue.model;

/** How a class's capacity is shared between its callers. */
public enum CallerWeighting {
    /** In proportion to the callers' weights. */
    WEIGHTED,
    /** Callers that have used least lately go first, whatever their weight. */
    SMALL_FIRST
}
