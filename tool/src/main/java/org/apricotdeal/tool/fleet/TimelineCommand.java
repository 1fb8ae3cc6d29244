package org.apricotdeal.tool.fleet;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.environment.Addresses;
import org.apricotdeal.tool.environment.Environment;

/** Shows one time line over all nodes. */
final class TimelineCommand extends BaseCommand {
    private final Environment environment;
    private final Addresses addresses;
    private final OptionSpec<Long> after;

    TimelineCommand(Environment environment) {
        super("timeline", "", "Merge the time lines of all nodes into one.");
        this.environment = environment;
        this.addresses = new Addresses(parser());
        this.after = parser().accepts("after", "leave out events up to this time, in milliseconds since 1970")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(0L);
    }

    @Override
    protected ExitCode execute(OptionSet options, Console console) {
        List<List<MergedEvent>> lines = new ArrayList<>();
        boolean isComplete = true;
        for (String node : addresses.nodes(options)) {
            switch (environment.askNode(node, "/admin/timeline?after=" + options.valueOf(after))) {
                case Result.Ok<JsonNode, String>(JsonNode answer) -> lines.add(events(answer));
                case Result.Err<JsonNode, String>(String error) -> {
                    console.err().println(node + ": no answer: " + error);
                    isComplete = false;
                }
            }
        }
        List<MergedEvent> merged = TimelineMerger.merge(lines);
        if (isJson(options)) {
            printJson(console, merged);
        } else {
            merged.forEach(console.out()::println);
        }
        return isComplete ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private static List<MergedEvent> events(JsonNode answer) {
        List<MergedEvent> events = new ArrayList<>();
        answer.path("events").forEach(event -> events.add(MergedEvent.of(event)));
        return events;
    }
}
