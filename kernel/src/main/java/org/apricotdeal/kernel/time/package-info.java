/** Clocks and timestamps. */
package org.apricotdeal.kernel.time;
