/** Messages with stable codes, and findings with their source locations. */
package org.apricotdeal.kernel.message;
