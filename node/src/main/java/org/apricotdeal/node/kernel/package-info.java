/** The node's kernel: what plug-ins register with, and the events that join their duties. */
package org.apricotdeal.node.kernel;
