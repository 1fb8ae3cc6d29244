/** What the platform gives: a key-value service and a list of VMs. */
package org.apricotdeal.platform;
