/** Messaging between nodes: Thrift messages over HTTP. */
package org.apricotdeal.node.peer;
