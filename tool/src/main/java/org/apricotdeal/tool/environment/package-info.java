/** What commands reach outside the process: the platform and the nodes, with their addresses. */
package org.apricotdeal.tool.environment;
