/** Decision logic of the relay as state machines without I/O: admission, placement, retries and replica planning. */
package org.apricotdeal.relay.policy;
