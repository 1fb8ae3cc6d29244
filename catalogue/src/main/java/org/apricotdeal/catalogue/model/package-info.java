/** The catalogue's entries as immutable records. */
package org.apricotdeal.catalogue.model;
