/** Randomised runs of the decisions on the virtual clock, with faults, and the checks that they must pass. */
package org.apricotdeal.lab.soak;
