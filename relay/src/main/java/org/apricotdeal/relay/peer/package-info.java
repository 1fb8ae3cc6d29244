/** Which nodes live, and which of them plans a failure domain. */
package org.apricotdeal.relay.peer;
