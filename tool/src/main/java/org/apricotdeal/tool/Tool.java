package org.apricotdeal.tool;

import java.util.List;
import java.util.ServiceLoader;

import org.apricotdeal.kernel.misc.Version;
import org.apricotdeal.tool.command.Command;
import org.apricotdeal.tool.command.CommandRegistry;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.command.ToolPlugin;
import org.apricotdeal.tool.environment.Environment;

/** Finds the command that a command line names and runs it. */
public final class Tool {
    private final Console console;
    private final CommandRegistry commands;

    /**
     * Creates a tool with all commands that plug-ins register.
     *
     * @param console takes the commands' output
     * @param environment what the commands reach outside the process
     */
    public Tool(Console console, Environment environment) {
        this.console = console;
        this.commands = new CommandRegistry(environment);
        ServiceLoader.load(ToolPlugin.class).forEach(plugin -> plugin.register(commands));
    }

    /**
     * Runs a command.
     *
     * @param arguments command line
     * @return exit code of the process
     */
    public int run(List<String> arguments) {
        String first = arguments.isEmpty() ? "--help" : arguments.getFirst();
        if (first.equals("--version")) {
            console.out().println("apricotdeal " + Version.CURRENT);
            return ExitCode.OK.code();
        }
        if (first.equals("--help")) {
            printCommands("");
            return (arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK).code();
        }
        return commands.find(arguments)
                .map(command -> command.run(rest(command, arguments), console))
                .orElseGet(() -> explain(arguments))
                .intValue();
    }

    private static List<String> rest(Command command, List<String> arguments) {
        return arguments.subList(command.name().split(" ").length, arguments.size());
    }

    private int explain(List<String> arguments) {
        String group = arguments.getFirst();
        boolean isGroup = commands.all().stream().anyMatch(c -> c.name().startsWith(group + " "));
        if (isGroup && arguments.size() > 1 && arguments.get(1).equals("--version")) {
            console.out().println("apricotdeal " + Version.CURRENT);
            return ExitCode.OK.code();
        }
        if (isGroup) {
            printCommands(group + " ");
            return (arguments.size() > 1 && arguments.get(1).equals("--help") ? ExitCode.OK : ExitCode.USAGE).code();
        }
        console.err()
                .println("apricotdeal: no command \"" + String.join(" ", arguments) + "\"; see apricotdeal --help");
        return ExitCode.USAGE.code();
    }

    private void printCommands(String prefix) {
        console.out().println("usage: apricotdeal " + prefix + "COMMAND [OPTIONS]");
        for (Command command : commands.all()) {
            if (command.name().startsWith(prefix)) {
                console.out().printf("  %-18s %s%n", command.name(), command.summary());
            }
        }
        console.out().println("Each command knows --help and --version. Exit codes:");
        for (ExitCode code : ExitCode.values()) {
            console.out().printf("  %2d  %s%n", code.code(), code.meaning());
        }
    }
}
