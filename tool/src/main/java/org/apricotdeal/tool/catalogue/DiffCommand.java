package org.apricotdeal.tool.catalogue;

import java.nio.file.Path;
import java.util.Collection;
import java.util.List;

import joptsimple.OptionSet;
import org.apricotdeal.catalogue.change.StoredCatalogue;
import org.apricotdeal.catalogue.diff.CatalogueDiff;
import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.environment.Addresses;
import org.apricotdeal.tool.environment.Environment;

/** Compares two files, or the catalogue in force with a file. */
final class DiffCommand extends BaseCommand {
    private final Environment environment;
    private final Addresses addresses;

    DiffCommand(Environment environment) {
        super(
                "catalogue diff",
                "[OLDER] FILE",
                "Show how a file differs from the catalogue in force or an older file.");
        this.environment = environment;
        this.addresses = new Addresses(parser());
    }

    @Override
    protected ExitCode execute(OptionSet options, Console console) {
        List<?> files = options.nonOptionArguments();
        if (files.isEmpty() || files.size() > 2) {
            throw new UsageException("expected one or two files");
        }
        Findings findings = new Findings();
        List<Entry> newer = read(files.getLast(), findings);
        Collection<Entry> older;
        if (files.size() == 2) {
            older = read(files.getFirst(), findings);
        } else {
            switch (CatalogueFiles.read(environment.store(addresses.platform(options)))) {
                case Result.Ok<StoredCatalogue, CatalogueFiles.ReadFailure>(StoredCatalogue stored) ->
                    older = stored.catalogue().entries().values();
                case Result.Err<StoredCatalogue, CatalogueFiles.ReadFailure>(var failure) -> {
                    console.err().println(failure.detail());
                    return failure.code();
                }
            }
        }
        if (findings.hasErrors()) {
            CatalogueFiles.printFindings(findings, console);
            return ExitCode.DATA;
        }
        CatalogueDiff diff = CatalogueDiff.between(older, newer);
        if (isJson(options)) {
            printJson(console, DifferenceView.of(diff.differences()));
        } else {
            CatalogueFiles.printDiff(diff, console);
            console.out().println(diff.differences().size() + " entries differ");
        }
        return ExitCode.OK;
    }

    private static List<Entry> read(Object file, Findings findings) {
        return IniCatalogue.read(Path.of(String.valueOf(file)), findings).entries();
    }
}
