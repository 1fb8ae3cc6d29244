package org.apricotdeal.tool.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import joptsimple.OptionSet;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.environment.Addresses;
import org.apricotdeal.tool.environment.Environment;

/** Asks every node one question of {@code /admin} and shows the answers, one line for each object. */
final class NodeQueryCommand extends BaseCommand {
    private final Environment environment;
    private final Addresses addresses;
    private final String path;
    private final String listField;

    /** Creates a command; {@code listField} names the answer's list, or is empty where the answer is one object. */
    NodeQueryCommand(String name, String summary, String listField, Environment environment) {
        super(name, "", summary);
        this.environment = environment;
        this.addresses = new Addresses(parser());
        this.path = "/admin/" + name;
        this.listField = listField;
    }

    @Override
    protected ExitCode execute(OptionSet options, Console console) {
        Map<String, JsonNode> answers = new LinkedHashMap<>();
        boolean isComplete = true;
        for (String node : addresses.nodes(options)) {
            switch (environment.askNode(node, path)) {
                case Result.Ok<JsonNode, String>(JsonNode answer) -> answers.put(node, answer);
                case Result.Err<JsonNode, String>(String error) -> {
                    console.err().println(node + ": no answer: " + error);
                    isComplete = false;
                }
            }
        }
        if (isJson(options)) {
            printJson(console, answers);
        } else {
            answers.forEach((node, answer) -> print(node, answer, console));
        }
        return isComplete ? ExitCode.OK : ExitCode.UNAVAILABLE;
    }

    private void print(String node, JsonNode answer, Console console) {
        if (listField.isEmpty()) {
            printObject(node, answer, console);
            return;
        }
        console.out().println(node + ": " + answer.path(listField).size() + " " + listField);
        answer.path(listField).forEach(item -> console.out().println("  " + line(item)));
    }

    /** Prints a node's answer in a line, and each object of its lists in a line of its own. */
    static void printObject(String node, JsonNode answer, Console console) {
        console.out().println(node + ": " + line(answer));
        answer.properties().forEach(field -> printObjects(field.getKey(), field.getValue(), console));
    }

    /** Prints each object of a list in a line of its own. */
    private static void printObjects(String name, JsonNode list, Console console) {
        if (isObjects(list)) {
            list.forEach(item -> console.out().println("  " + name + ": " + line(item)));
        }
    }

    private static boolean isObjects(JsonNode value) {
        return value.isArray() && value.path(0).isObject();
    }

    private static String line(JsonNode object) {
        List<String> parts = new ArrayList<>();
        object.properties().forEach(field -> parts.add(field.getKey() + "=" + text(field.getValue())));
        return String.join(" ", parts);
    }

    private static String text(JsonNode value) {
        if (!value.isArray()) {
            return value.asText();
        }
        if (isObjects(value)) {
            return String.valueOf(value.size());
        }
        List<String> items = new ArrayList<>();
        value.forEach(item -> items.add(item.asText()));
        return String.join(",", items);
    }
}
