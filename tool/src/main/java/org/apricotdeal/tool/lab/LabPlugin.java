package org.apricotdeal.tool.lab;

import org.apricotdeal.lab.experiment.ExperimentCommand;
import org.apricotdeal.standins.StandinsCommand;
import org.apricotdeal.tool.command.CommandRegistry;
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
    }
}
