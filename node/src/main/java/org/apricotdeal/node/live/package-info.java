/**
 * Requests in progress: token streams and calls to plain services. Each request is run by a state machine of its own; all
 * requests of one kind share a duty.
 */
package org.apricotdeal.node.live;
