/** HTTP adapters, by Jetty's client, for the platform, the model engines and plain services. */
package org.apricotdeal.http;
