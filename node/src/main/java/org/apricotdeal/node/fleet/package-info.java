/** What the node knows of upstream VMs, and which targets requests can go to. */
package org.apricotdeal.node.fleet;
