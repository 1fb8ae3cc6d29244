package org.apricotdeal.tool.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apricotdeal.tool.environment.Environment;

/** The commands that plug-ins have registered. */
public final class CommandRegistry {
    private final Environment environment;
    private final Map<String, Command> commands = new TreeMap<>();

    /**
     * Creates an empty registry.
     *
     * @param environment what commands reach outside the process
     */
    public CommandRegistry(Environment environment) {
        this.environment = environment;
    }

    /**
     * Returns what commands reach outside the process.
     *
     * @return the environment
     */
    public Environment environment() {
        return environment;
    }

    /**
     * Adds a command.
     *
     * @param command the command
     * @throws IllegalStateException where a command of that name exists
     */
    public void add(Command command) {
        if (commands.putIfAbsent(command.name(), command) != null) {
            throw new IllegalStateException("two commands are named " + command.name());
        }
    }

    /**
     * Returns all commands.
     *
     * @return the commands, sorted by name
     */
    public List<Command> all() {
        return new ArrayList<>(commands.values());
    }

    /**
     * Finds the command that a command line calls.
     *
     * @param arguments the command line
     * @return the command, or nothing
     */
    public Optional<Command> find(List<String> arguments) {
        for (int words = Math.min(2, arguments.size()); words > 0; words--) {
            Command found = commands.get(String.join(" ", arguments.subList(0, words)));
            if (found != null) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }
}
