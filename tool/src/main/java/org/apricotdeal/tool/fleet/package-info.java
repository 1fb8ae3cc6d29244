/** Commands that ask the nodes: status, replicas, callers and the merged time line. */
package org.apricotdeal.tool.fleet;
