/** Open-loop load over HTTP: seeded arrivals, answers verified token by token, tables and plots. */
package org.apricotdeal.lab.load;
