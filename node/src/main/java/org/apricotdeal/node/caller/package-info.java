/** The node's HTTP interface for callers: authentication, request bodies, token streams and responses. */
package org.apricotdeal.node.caller;
