package org.apricotdeal.tool.command;

import java.util.List;

/** A command of the tool. */
public interface Command {
    /**
     * Returns the words that call the command.
     *
     * @return one or two words, such as {@code catalogue check}
     */
    String name();

    /**
     * Returns what the command does.
     *
     * @return one line for people
     */
    String summary();

    /**
     * Runs the command.
     *
     * @param arguments command line after the command's name
     * @param console takes the output
     * @return exit code of the process
     */
    int run(List<String> arguments, Console console);
}
