/** Interfaces between the relay and a platform. Adapters implement them and contain no decision logic. */
package org.apricotdeal.relay.port;
