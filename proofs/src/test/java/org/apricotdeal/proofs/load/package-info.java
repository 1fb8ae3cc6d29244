/** Tests of the load tool. */
package org.apricotdeal.proofs.load;
