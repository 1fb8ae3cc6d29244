/** Randomised runs on virtual time, with invariants asserted throughout; each run is a function of its seed. */
package org.apricotdeal.lab.soak;
