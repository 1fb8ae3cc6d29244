/** Helpers shared by all packages. */
package org.apricotdeal.kernel.misc;
