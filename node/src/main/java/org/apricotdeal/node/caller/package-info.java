/** The node's face towards callers: authentication, request bodies, token streams and answers. */
package org.apricotdeal.node.caller;
