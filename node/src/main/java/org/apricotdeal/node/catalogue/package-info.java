/** Keeps the node's catalogue at the newest version that the platform or a peer knows. */
package org.apricotdeal.node.catalogue;
