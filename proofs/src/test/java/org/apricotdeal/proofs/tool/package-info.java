/** Tests of the operators' tool. */
package org.apricotdeal.proofs.tool;
