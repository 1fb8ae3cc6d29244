package org.apricotdeal.tool.command;

import org.apricotdeal.kernel.plugin.Plugin;

/** A plug-in of the tool; it registers its commands. */
public interface ToolPlugin extends Plugin<CommandRegistry> {}
