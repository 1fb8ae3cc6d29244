/** The node's settings, read from an INI file. All sections are checked before the node starts. */
package org.apricotdeal.node.settings;
