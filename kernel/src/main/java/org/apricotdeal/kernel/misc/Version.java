package org.apricotdeal.kernel.misc;

/** The version of all binaries. */
public final class Version {
    /** The current version. */
    public static final String CURRENT = "0.1.0";

    private Version() {}
}
