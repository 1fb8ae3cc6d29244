/** Pass-through serving: requests are routed, admitted, placed and relayed without reading their bodies. */
package org.apricotdeal.relay;
