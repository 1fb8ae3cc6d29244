package org.apricotdeal.proofs.process;

import java.util.List;

import org.apricotdeal.standins.StandinsCommand;

/** Entry point of a process of stand-ins. */
final class StandinProcess {
    private StandinProcess() {}

    /**
     * Runs stand-ins until the process is ended.
     *
     * @param arguments as for the stand-ins' command
     */
    public static void main(String[] arguments) {
        System.exit(new StandinsCommand(System.out, System.err).run(List.of(arguments)));
    }
}
