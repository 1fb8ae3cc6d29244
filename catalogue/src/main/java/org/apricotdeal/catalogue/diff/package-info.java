/** Differences between catalogues. */
package org.apricotdeal.catalogue.diff;
