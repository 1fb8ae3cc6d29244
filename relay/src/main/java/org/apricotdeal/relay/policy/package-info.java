/** Decisions of the relay as state machines without input or output: admission, placement, repeats and replica planning. */
package org.apricotdeal.relay.policy;
