/** HTTP servers of the stand-ins: requests, streams, and faults of connections. */
package org.apricotdeal.standins.server;
