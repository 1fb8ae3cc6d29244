/** Proofs of all modules; the tests themselves are this module's test sources. */
package org.apricotdeal.proofs;
