/** Routes, upstreams, VMs and replicas as the relay sees them. */
package org.apricotdeal.relay.model;
