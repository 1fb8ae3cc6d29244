package org.apricotdeal.tool.catalogue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import joptsimple.OptionSet;
import org.apricotdeal.catalogue.change.StoredCatalogue;
import org.apricotdeal.catalogue.check.EntryFields;
import org.apricotdeal.catalogue.codec.CatalogueCodec;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.environment.Addresses;
import org.apricotdeal.tool.environment.Environment;

/** Shows the catalogue in force. */
final class ShowCommand extends BaseCommand {
    private final Environment environment;
    private final Addresses addresses;

    ShowCommand(Environment environment) {
        super("catalogue show", "[ENTRY...]", "Show the catalogue in force, or entries of it; credentials are hidden.");
        this.environment = environment;
        this.addresses = new Addresses(parser());
    }

    /** The catalogue as JSON. */
    record CatalogueView(long version, String changeId, String digest, Map<String, Map<String, String>> entries) {}

    @Override
    protected ExitCode execute(OptionSet options, Console console) {
        return switch (CatalogueFiles.read(environment.store(addresses.platform(options)))) {
            case Result.Err<StoredCatalogue, CatalogueFiles.ReadFailure>(var failure) -> {
                console.err().println(failure.detail());
                yield failure.code();
            }
            case Result.Ok<StoredCatalogue, CatalogueFiles.ReadFailure>(StoredCatalogue stored) ->
                show(stored.catalogue(), options, console);
        };
    }

    private ExitCode show(Catalogue catalogue, OptionSet options, Console console) {
        List<String> wanted =
                options.nonOptionArguments().stream().map(String::valueOf).toList();
        for (String key : wanted) {
            if (!catalogue.entries().containsKey(key)) {
                console.err().println("version " + catalogue.version() + " has no entry \"" + key + "\"");
                return ExitCode.DATA;
            }
        }
        Map<String, Map<String, String>> entries = new LinkedHashMap<>();
        for (Entry entry : catalogue.entries().values()) {
            if (wanted.isEmpty() || wanted.contains(entry.key())) {
                entries.put(entry.key(), EntryFields.shown(entry));
            }
        }
        CatalogueView view =
                new CatalogueView(catalogue.version(), catalogue.changeId(), CatalogueCodec.digest(catalogue), entries);
        if (isJson(options)) {
            printJson(console, view);
        } else {
            print(view, console);
        }
        return ExitCode.OK;
    }

    private static void print(CatalogueView view, Console console) {
        console.out().printf("version %d, change %s, digest %s%n", view.version(), view.changeId(), view.digest());
        view.entries().forEach((key, fields) -> {
            console.out().println("[" + key + "]");
            fields.forEach((field, value) -> console.out().println((field + " = " + value).stripTrailing()));
        });
    }
}
