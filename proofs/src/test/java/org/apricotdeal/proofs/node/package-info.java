/** Tests of whole nodes against stand-ins. */
package org.apricotdeal.proofs.node;
