/** The access to the platform. Store calls for different purposes run on separate duties and don't block each other. */
package org.apricotdeal.node.platform;
