/** Calls to the key-value service as values, for state machines that ask their owner to carry them out. */
package org.apricotdeal.platform.call;
