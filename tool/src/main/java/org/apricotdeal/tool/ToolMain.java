package org.apricotdeal.tool;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.environment.DefaultEnvironment;

/** Entry point of the apricotdeal binary. */
public final class ToolMain {
    private ToolMain() {}

    /**
     * Runs the tool and ends the process with the command's exit code.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        Console console = new Console(
                new PrintStream(System.out, true, StandardCharsets.UTF_8),
                new PrintStream(System.err, true, StandardCharsets.UTF_8));
        int code;
        try (DefaultEnvironment environment = new DefaultEnvironment()) {
            code = new Tool(console, environment).run(List.of(arguments));
        }
        System.exit(code);
    }
}
