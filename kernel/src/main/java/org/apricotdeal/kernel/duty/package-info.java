/** Duties, which each run one thread and receive events through a bounded ring buffer, and their state machines. */
package org.apricotdeal.kernel.duty;
