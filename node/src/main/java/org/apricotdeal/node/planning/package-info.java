/** Runs the planner of the node's failure domain. */
package org.apricotdeal.node.planning;
