/** Stand-in for the platform: key-value service, VM list and weight store. */
package org.apricotdeal.standins.platform;
