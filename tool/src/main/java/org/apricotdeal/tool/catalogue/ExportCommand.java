package org.apricotdeal.tool.catalogue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.catalogue.change.StoredCatalogue;
import org.apricotdeal.catalogue.ini.IniCatalogueWriter;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.environment.Addresses;
import org.apricotdeal.tool.environment.Environment;

/** Writes the catalogue in force as an INI file with its version, for {@code catalogue apply}. */
final class ExportCommand extends BaseCommand {
    private final Environment environment;
    private final Addresses addresses;
    private final OptionSpec<String> to;

    ExportCommand(Environment environment) {
        super("catalogue export", "[ENTRY...]", "Write the catalogue in force, or entries of it, as an INI file.");
        this.environment = environment;
        this.addresses = new Addresses(parser());
        this.to = parser().accepts("out", "file to write; otherwise standard output")
                .withRequiredArg()
                .describedAs("FILE");
    }

    @Override
    protected ExitCode execute(OptionSet options, Console console) throws IOException {
        switch (CatalogueFiles.read(environment.store(addresses.platform(options)))) {
            case Result.Err<StoredCatalogue, CatalogueFiles.ReadFailure>(var failure) -> {
                console.err().println(failure.detail());
                return failure.code();
            }
            case Result.Ok<StoredCatalogue, CatalogueFiles.ReadFailure>(StoredCatalogue stored) -> {
                return export(stored.catalogue(), options, console);
            }
        }
    }

    private ExitCode export(Catalogue catalogue, OptionSet options, Console console) throws IOException {
        List<Entry> entries = new ArrayList<>();
        for (Object argument : options.nonOptionArguments()) {
            Entry entry = catalogue.entries().get(String.valueOf(argument));
            if (entry == null) {
                console.err().println("version " + catalogue.version() + " has no entry \"" + argument + "\"");
                return ExitCode.DATA;
            }
            entries.add(entry);
        }
        Catalogue part =
                entries.isEmpty() ? catalogue : Catalogue.of(catalogue.version(), catalogue.changeId(), entries);
        if (isJson(options)) {
            printJson(console, part);
            return ExitCode.OK;
        }
        String text = IniCatalogueWriter.write(part);
        if (options.has(to)) {
            Files.writeString(Path.of(options.valueOf(to)), text);
        } else {
            console.out().print(text);
        }
        return ExitCode.OK;
    }
}
