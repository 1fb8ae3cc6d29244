package org.apricotdeal.kernel.settings;

import org.apricotdeal.kernel.message.SourceLocation;

/**
 * A value of an INI file.
 *
 * @param text the value without surrounding white space
 * @param location location of its key
 */
public record IniValue(String text, SourceLocation location) {}
