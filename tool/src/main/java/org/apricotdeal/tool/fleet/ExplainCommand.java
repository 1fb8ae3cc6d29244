package org.apricotdeal.tool.fleet;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.environment.Addresses;
import org.apricotdeal.tool.environment.Environment;

/** Asks nodes in relay mode where a request would go now and why; the request is not sent. */
final class ExplainCommand extends BaseCommand {
    private static final String BAD_REQUEST = "status 400";

    private final Environment environment;
    private final Addresses addresses;
    private final OptionSpec<String> host;
    private final OptionSpec<String> path;
    private final OptionSpec<String> key;
    private final OptionSpec<String> headers;
    private final OptionSpec<String> digest;

    ExplainCommand(Environment environment) {
        super("explain", "", "Show where a request would go now and why, without sending it (relay mode).");
        this.environment = environment;
        this.addresses = new Addresses(parser());
        this.host = parser().accepts("host", "host that the caller names").withRequiredArg();
        this.path = parser().accepts("path", "path of the request").withRequiredArg();
        this.key = parser().accepts("key", "the caller's key").withRequiredArg();
        this.headers = parser().accepts("header", "a header of the request, NAME: VALUE; may be repeated")
                .withRequiredArg();
        this.digest = parser().accepts("digest", "digest of the whole request, ROUTE#HASH, as logs name it")
                .withRequiredArg();
    }

    @Override
    protected ExitCode execute(OptionSet options, Console console) {
        String question = question(options);
        Map<String, JsonNode> answers = new LinkedHashMap<>();
        ExitCode code = ExitCode.OK;
        for (String node : addresses.nodes(options)) {
            switch (environment.askNode(node, question)) {
                case Result.Ok<JsonNode, String>(JsonNode answer) -> answers.put(node, answer);
                case Result.Err<JsonNode, String>(String error) -> {
                    console.err().println(node + ": no answer: " + error);
                    code = error.startsWith(BAD_REQUEST) ? ExitCode.USAGE : ExitCode.UNAVAILABLE;
                }
            }
        }
        if (isJson(options)) {
            printJson(console, answers);
        } else {
            answers.forEach((node, answer) -> NodeQueryCommand.printObject(node, answer, console));
        }
        return code;
    }

    private String question(OptionSet options) {
        StringBuilder query = new StringBuilder("/admin/explain?host=").append(required(host, "host", options));
        query.append("&path=").append(required(path, "path", options));
        if (options.has(key)) {
            query.append("&key=").append(encoded(options.valueOf(key)));
        }
        options.valuesOf(headers).forEach(header -> query.append("&header=").append(encoded(header)));
        if (options.has(digest)) {
            query.append("&digest=").append(encoded(options.valueOf(digest)));
        }
        return query.toString();
    }

    private static String required(OptionSpec<String> option, String name, OptionSet options) {
        if (!options.has(option)) {
            throw new UsageException(name + ": missing; give --" + name);
        }
        return encoded(options.valueOf(option));
    }

    private static String encoded(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8);
    }
}
