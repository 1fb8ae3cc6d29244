package org.apricotdeal.tool.command;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import joptsimple.BuiltinHelpFormatter;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.kernel.misc.Version;

/** What all commands share: options, {@code --help}, {@code --version}, {@code --json} and failures. */
public abstract class BaseCommand implements Command {
    private static final ObjectMapper JSON = CatalogueCodec.mapper();
    private static final int HELP_COLUMNS = 110;

    private final String name;
    private final String arguments;
    private final String summary;
    private final OptionParser parser = new OptionParser();
    private final OptionSpec<Void> help = parser.accepts("help", "show this help and exit");
    private final OptionSpec<Void> version = parser.accepts("version", "show the version and exit");
    private final OptionSpec<Void> json = parser.accepts("json", "write the result as JSON");

    /** Reports that the command line is wrong. */
    public static final class UsageException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        /**
         * Creates the report.
         *
         * @param message what is wrong
         */
        public UsageException(String message) {
            super(message);
        }
    }

    /**
     * Creates a command.
     *
     * @param name the words that call it
     * @param arguments its positional arguments, for people
     * @param summary what it does, in one line
     */
    protected BaseCommand(String name, String arguments, String summary) {
        this.name = name;
        this.arguments = arguments;
        this.summary = summary;
        parser.formatHelpWith(new BuiltinHelpFormatter(HELP_COLUMNS, 2));
    }

    @Override
    public final String name() {
        return name;
    }

    @Override
    public final String summary() {
        return summary;
    }

    @Override
    public final int run(List<String> commandLine, Console console) {
        try {
            OptionSet options = parser.parse(commandLine.toArray(new String[0]));
            if (options.has(help)) {
                console.out().println(usage() + "\n" + summary + "\n");
                parser.printHelpOn(console.out());
                return ExitCode.OK.code();
            }
            if (options.has(version)) {
                console.out().println("apricotdeal " + Version.CURRENT);
                return ExitCode.OK.code();
            }
            return execute(options, console).code();
        } catch (OptionException | UsageException e) {
            console.err().println("apricotdeal " + name + ": " + e.getMessage());
            console.err().println(usage());
            return ExitCode.USAGE.code();
        } catch (IOException e) {
            console.err().println("apricotdeal " + name + ": " + e);
            return ExitCode.DATA.code();
        }
    }

    private String usage() {
        return "usage: apricotdeal " + name + (arguments.isEmpty() ? "" : " " + arguments) + " [OPTIONS]";
    }

    /**
     * Returns the parser, to which a command adds its options.
     *
     * @return the parser
     */
    protected final OptionParser parser() {
        return parser;
    }

    /**
     * Tells whether the result is to be written as JSON.
     *
     * @param options the command line
     * @return true where it is
     */
    protected final boolean isJson(OptionSet options) {
        return options.has(json);
    }

    /**
     * Writes a value as JSON.
     *
     * @param console takes the output
     * @param value the value
     */
    protected final void printJson(Console console, Object value) {
        try {
            console.out().println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Does the command's work.
     *
     * @param options the command line
     * @param console takes the output
     * @return exit code
     * @throws IOException where a file cannot be read or written
     */
    protected abstract ExitCode execute(OptionSet options, Console console) throws IOException;
}
