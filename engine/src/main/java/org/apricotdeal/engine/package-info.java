/** Interfaces to model engines (state, orders, token streams, cache events) and to plain services (calls). */
package org.apricotdeal.engine;
