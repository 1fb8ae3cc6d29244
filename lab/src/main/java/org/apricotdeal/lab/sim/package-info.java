/** A virtual clock with a seeded scheduler, and a network between actors that can lose, delay and cut. */
package org.apricotdeal.lab.sim;
