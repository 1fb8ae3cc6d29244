/** Operators' changes to the catalogue, and their acceptance by compare-and-swap. */
package org.apricotdeal.catalogue.change;
