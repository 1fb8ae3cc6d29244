/** Runs the dispatcher, which decides when and where each request is served. */
package org.apricotdeal.node.dispatch;
