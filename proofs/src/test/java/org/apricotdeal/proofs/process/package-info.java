/** Tests of real processes on loopback, which the tests start, kill, stop and continue. */
package org.apricotdeal.proofs.process;
