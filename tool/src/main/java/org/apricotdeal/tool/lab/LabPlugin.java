package org.apricotdeal.tool.lab;

import java.util.List;

import org.apricotdeal.lab.experiment.ExperimentCommand;
import org.apricotdeal.lab.load.LoadCommand;
import org.apricotdeal.lab.soak.BookingRun;
import org.apricotdeal.lab.soak.CatalogueRun;
import org.apricotdeal.lab.soak.PlanningSoak;
import org.apricotdeal.lab.soak.RandomisedRun;
import org.apricotdeal.lab.soak.SoakRunner;
import org.apricotdeal.lab.soak.StreamRun;
import org.apricotdeal.lab.soak.TargetsRun;
import org.apricotdeal.standins.StandinsCommand;
import org.apricotdeal.standins.load.EngineLoadCommand;
import org.apricotdeal.tool.command.CommandRegistry;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.command.ToolPlugin;

/** Registers the commands of the lab. */
public final class LabPlugin implements ToolPlugin {
    @Override
    public String name() {
        return "lab";
    }

    @Override
    public void register(CommandRegistry registry) {
        registry.add(new DelegatedCommand(
                "lab standins",
                "Host the stand-ins of a settings file until the process is ended.",
                (arguments, console) -> new StandinsCommand(console.out(), console.err()).run(arguments)));
        registry.add(new DelegatedCommand(
                "lab experiment",
                "Run an experiment on the virtual clock.",
                (arguments, console) -> new ExperimentCommand(console.out()).run(arguments)));
        registry.add(new DelegatedCommand(
                "lab load",
                "Send a seeded load to nodes and verify every answer.",
                (arguments, console) -> new LoadCommand(console.out(), console.err()).run(arguments)));
        registry.add(new DelegatedCommand(
                "lab engine-load",
                "Measure how many token streams one engine stand-in carries.",
                (arguments, console) -> new EngineLoadCommand(console.out(), console.err()).run(arguments)));
        registry.add(new DelegatedCommand("lab soak", "Run randomised runs over a range of seeds.", LabPlugin::soak));
    }

    private static int soak(List<String> arguments, Console console) {
        String which = arguments.isEmpty() ? "" : arguments.getFirst();
        RandomisedRun run =
                switch (which) {
                    case "claims" -> new BookingRun();
                    case "streams" -> new StreamRun();
                    case "catalogue" -> new CatalogueRun();
                    case "planning" -> PlanningSoak::run;
                    case "targets" -> new TargetsRun();
                    default -> null;
                };
        if (run == null) {
            console.err()
                    .println(
                            "usage: apricotdeal lab soak claims|streams|catalogue|planning|targets [--seeds FIRST-LAST]");
            return which.equals("--help") ? ExitCode.OK.code() : ExitCode.USAGE.code();
        }
        String[] rest = arguments.subList(1, arguments.size()).toArray(new String[0]);
        return SoakRunner.runSeeds(rest, run, console.out());
    }
}
