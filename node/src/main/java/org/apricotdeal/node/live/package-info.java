/** Requests in progress: token streams and calls to plain services, each driven by its state machine on one duty. */
package org.apricotdeal.node.live;
