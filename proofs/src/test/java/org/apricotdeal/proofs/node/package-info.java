/** Tests of complete nodes with stand-ins, and unit tests of parts of a node. */
package org.apricotdeal.proofs.node;
