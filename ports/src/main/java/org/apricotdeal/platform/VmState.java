package org.apricotdeal.platform;

/** State of a VM in the platform's list. */
public enum VmState {
    /** In service. */
    LIVE,
    /** About to be removed; must get no new work. */
    LEAVING
}
