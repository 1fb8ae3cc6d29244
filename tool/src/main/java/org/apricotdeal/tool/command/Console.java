package org.apricotdeal.tool.command;

import java.io.PrintStream;

/**
 * Where commands write.
 *
 * @param out takes results
 * @param err takes findings and failures
 */
public record Console(PrintStream out, PrintStream err) {}
