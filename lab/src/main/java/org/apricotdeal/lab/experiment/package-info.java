/** Experiments on virtual time: simulated callers, nodes that run the real dispatcher, and replicas with caches. */
package org.apricotdeal.lab.experiment;
