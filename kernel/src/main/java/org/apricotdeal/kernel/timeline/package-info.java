/** The timeline of one process's events, in timestamps that allow timelines of several processes to be merged. */
package org.apricotdeal.kernel.timeline;
