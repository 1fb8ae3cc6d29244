/** Commands on the catalogue. */
package org.apricotdeal.tool.catalogue;
