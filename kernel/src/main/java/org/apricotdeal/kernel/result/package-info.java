/** Sealed result types, used instead of exceptions for failures that callers handle. */
package org.apricotdeal.kernel.result;
