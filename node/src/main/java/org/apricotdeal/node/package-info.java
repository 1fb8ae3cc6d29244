/** The entry point, lifecycle and HTTP servers of the apricotdeal-node process. */
package org.apricotdeal.node;
