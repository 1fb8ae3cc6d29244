/** Tests of all modules live in this module's test sources, one package per concept. */
package org.apricotdeal.proofs;
