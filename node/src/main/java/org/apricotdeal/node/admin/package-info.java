/** HTTP endpoints of a node for health, readiness, metrics and operators' queries. */
package org.apricotdeal.node.admin;
