/** Catalogues and entries as JSON. */
package org.apricotdeal.catalogue.codec;
