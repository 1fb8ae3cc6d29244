/** The apricotdeal binary: the operators' tool. */
package org.apricotdeal.tool;
