/** The node's settings, read from an INI file and checked whole. */
package org.apricotdeal.node.settings;
