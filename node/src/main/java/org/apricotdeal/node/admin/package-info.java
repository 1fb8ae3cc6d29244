/** Health, readiness, metrics and what operators ask a node. */
package org.apricotdeal.node.admin;
