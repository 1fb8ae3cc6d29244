/** Catalogues as INI files: reading with places, and writing. */
package org.apricotdeal.catalogue.ini;
