/** Value types for the identifiers used in messages and state. */
package org.apricotdeal.kernel.id;
