/** Reading and checking of INI settings; all errors are reported together, with file, line and key. */
package org.apricotdeal.kernel.settings;
