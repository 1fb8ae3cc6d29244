/** Decision logic, with one package for each concern, in state machines that read no clock and perform no I/O. */
package org.apricotdeal.policy;
