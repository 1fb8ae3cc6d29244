/** Interfaces to the platform's services: a key-value store and a list of VMs. */
package org.apricotdeal.platform;
