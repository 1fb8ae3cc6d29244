/** Tests of the catalogue: reading, checking, encoding, comparing and changing. */
package org.apricotdeal.proofs.catalogue;
