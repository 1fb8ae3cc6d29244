/** A small load tool for one engine stand-in, to measure what a stand-in itself can carry. */
package org.apricotdeal.standins.load;
