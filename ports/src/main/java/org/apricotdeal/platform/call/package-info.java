/** Calls to the key-value service as values, which state machines return for their owner to carry out. */
package org.apricotdeal.platform.call;
