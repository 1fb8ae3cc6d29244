/** Monitors the upstream VMs and determines the targets to which requests can be sent. */
package org.apricotdeal.node.fleet;
