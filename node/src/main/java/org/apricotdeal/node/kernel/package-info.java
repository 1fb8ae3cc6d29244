/** The node's kernel, with which plug-ins register, and the events that they exchange. */
package org.apricotdeal.node.kernel;
