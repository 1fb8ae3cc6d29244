/** Pass-through proxy: routes, admits, places and relays requests without parsing their bodies. */
package org.apricotdeal.relay;
