/** A node in relay mode: Jetty, duties, store watchers, heartbeats, logs and metrics around the relay's decisions. */
package org.apricotdeal.relay.node;
