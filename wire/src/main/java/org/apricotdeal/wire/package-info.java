/** Encoding of the messages between the system's processes, in Thrift's compact protocol. */
package org.apricotdeal.wire;
