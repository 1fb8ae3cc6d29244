package org.apricotdeal.tool.lab;

import java.util.List;
import java.util.function.BiFunction;

import org.apricotdeal.tool.command.Command;
import org.apricotdeal.tool.command.Console;

/** A command that another package runs. */
final class DelegatedCommand implements Command {
    private final String name;
    private final String summary;
    private final BiFunction<List<String>, Console, Integer> body;

    DelegatedCommand(String name, String summary, BiFunction<List<String>, Console, Integer> body) {
        this.name = name;
        this.summary = summary;
        this.body = body;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public String summary() {
        return summary;
    }

    @Override
    public int run(List<String> arguments, Console console) {
        return body.apply(arguments, console);
    }
}
