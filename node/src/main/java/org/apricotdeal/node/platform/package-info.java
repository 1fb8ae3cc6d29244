/** The node's access to the platform. Store calls for different purposes run on separate duties and don't delay each other. */
package org.apricotdeal.node.platform;
