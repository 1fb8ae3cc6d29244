/** What the relay needs of a platform. Adapters implement these interfaces; they decide nothing. */
package org.apricotdeal.relay.port;
