/** A node in relay mode: HTTP server and clients, event loops, store watchers, heartbeats, logs and metrics. */
package org.apricotdeal.relay.node;
