/** Finds the parts of prompts that crash VMs, from the crashes that all nodes have seen, and holds requests with them back. */
package org.apricotdeal.relay.poison;
