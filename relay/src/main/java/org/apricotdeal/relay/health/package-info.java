/** A node's judgement of its own health. */
package org.apricotdeal.relay.health;
