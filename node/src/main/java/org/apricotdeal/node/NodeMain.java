package org.apricotdeal.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.function.IntSupplier;

import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.misc.Version;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.node.settings.NodeSettings;
import org.apricotdeal.relay.node.RelayNode;
import org.apricotdeal.relay.node.RelaySettings;

/** Entry point of the apricotdeal-node binary. */
public final class NodeMain {
    private static final int EXIT_USAGE = 64;
    private static final int EXIT_BAD_SETTINGS = 65;
    private static final int EXIT_CANNOT_START = 69;
    private static final int EXIT_REQUESTS_ABORTED = 75;

    private NodeMain() {}

    /**
     * Runs a node until the process is asked to stop.
     *
     * @param arguments command line arguments
     * @throws IOException if the help text cannot be printed
     */
    public static void main(String[] arguments) throws IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<String> settings = parser.accepts("settings", "INI file with the node's settings")
                .withRequiredArg()
                .describedAs("FILE");
        OptionSpec<Void> check = parser.accepts("check", "check the settings and exit");
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<Void> version =
                parser.accepts("version", "print the version").forHelp();
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException e) {
            System.err.println("apricotdeal-node: " + e.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        if (options.has(help)) {
            parser.printHelpOn(System.out);
        } else if (options.has(version)) {
            System.out.println("apricotdeal-node " + Version.CURRENT);
        } else if (!options.has(settings)) {
            System.err.println("apricotdeal-node: --settings FILE is required; see --help");
            System.exit(EXIT_USAGE);
        } else {
            run(Path.of(options.valueOf(settings)), options.has(check));
        }
    }

    private static void run(Path file, boolean checkOnly) {
        Findings findings = new Findings();
        IniFile ini = IniFile.read(file, findings);
        boolean relay = RelaySettings.isRelay(ini);
        RelaySettings relaySettings = relay ? RelaySettings.read(ini, findings) : null;
        NodeSettings settings = relay || findings.hasErrors() ? null : NodeSettings.read(ini, findings);
        if (!findings.all().isEmpty()) {
            System.err.println(findings);
        }
        if (findings.hasErrors()) {
            System.exit(EXIT_BAD_SETTINGS);
        }
        if (checkOnly) {
            System.out.println(file.getFileName() + ": settings are valid");
            return;
        }
        if (relay) {
            serveRelay(relaySettings);
        } else {
            serve(settings);
        }
    }

    private static void serveRelay(RelaySettings settings) {
        RelayNode node = new RelayNode(settings);
        serve(node::start, () -> {
            node.stopGracefully();
            return 0;
        });
    }

    private static void serve(NodeSettings settings) {
        Node node = new Node(settings);
        serve(node::start, () -> node.stopGracefully() == 0 ? 0 : EXIT_REQUESTS_ABORTED);
    }

    /** Starts a node; may throw a checked exception. */
    private interface StartAction {
        void run() throws Exception;
    }

    /** Runs a node until the process is asked to stop, then exits with the status that the graceful stop returns. */
    private static void serve(StartAction start, IntSupplier stopGracefully) {
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(Thread.ofPlatform().name("stop").unstarted(() -> {
            int status = stopGracefully.getAsInt();
            stopped.countDown();
            Runtime.getRuntime().halt(status);
        }));
        try {
            start.run();
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            System.err.println("apricotdeal-node: cannot start: " + e.getMessage());
            Runtime.getRuntime().halt(EXIT_CANNOT_START);
        }
    }
}
