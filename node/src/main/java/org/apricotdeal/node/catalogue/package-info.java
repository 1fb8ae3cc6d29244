/** Keeps the node's catalogue at the newest version that the platform or a peer has. */
package org.apricotdeal.node.catalogue;
