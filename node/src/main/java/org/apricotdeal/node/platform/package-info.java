/** The node's access to the platform, one duty for each matter so that none waits for another. */
package org.apricotdeal.node.platform;
