/** Routes, upstreams, VMs and replicas as used by the relay. */
package org.apricotdeal.relay.model;
