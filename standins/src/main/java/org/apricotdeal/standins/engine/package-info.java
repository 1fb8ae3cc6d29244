/** Stand-in for a VM's model engine: orders, members, decoding, prefix cache, load reports, and faults. */
package org.apricotdeal.standins.engine;
