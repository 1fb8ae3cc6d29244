/** Exchange of heartbeats and loads between nodes, and the choice of the planner of a failure domain. */
package org.apricotdeal.relay.peer;
