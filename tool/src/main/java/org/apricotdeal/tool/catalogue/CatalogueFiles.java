package org.apricotdeal.tool.catalogue;

import java.util.List;

import joptsimple.OptionSet;
import org.apricotdeal.catalogue.change.StoredCatalogue;
import org.apricotdeal.catalogue.change.StoredCatalogueCodec;
import org.apricotdeal.catalogue.diff.CatalogueDiff;
import org.apricotdeal.catalogue.diff.EntryDifference;
import org.apricotdeal.catalogue.diff.FieldDifference;
import org.apricotdeal.kernel.message.Finding;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.tool.command.BaseCommand.UsageException;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;

/** What several commands on the catalogue share: reading it, and printing findings and differences. */
final class CatalogueFiles {
    private CatalogueFiles() {}

    /** Why the catalogue in force could not be read. */
    record ReadFailure(ExitCode code, String detail) {}

    static String onlyArgument(OptionSet options, String meaning) {
        List<?> arguments = options.nonOptionArguments();
        if (arguments.size() != 1) {
            throw new UsageException("expected one argument: " + meaning);
        }
        return String.valueOf(arguments.getFirst());
    }

    /** Reads the value of the catalogue's key; an absent key is the empty catalogue. */
    static Result<StoredCatalogue, ReadFailure> read(KeyValueStore store) {
        return switch (store.get(StoredCatalogue.KEY)) {
            case Result.Err<java.util.Optional<VersionedValue>, PlatformError>(PlatformError error) ->
                Result.err(new ReadFailure(ExitCode.UNAVAILABLE, "the platform gives no answer: " + error.detail()));
            case Result.Ok<java.util.Optional<VersionedValue>, PlatformError>(var value) ->
                value.isEmpty() ? Result.ok(StoredCatalogue.EMPTY) : decode(value.get());
        };
    }

    private static Result<StoredCatalogue, ReadFailure> decode(VersionedValue value) {
        return switch (StoredCatalogueCodec.decode(value.value())) {
            case Result.Ok<StoredCatalogue, String>(StoredCatalogue stored) -> Result.ok(stored);
            case Result.Err<StoredCatalogue, String>(String error) ->
                Result.err(new ReadFailure(ExitCode.DATA, "the stored catalogue cannot be read: " + error));
        };
    }

    static void printFindings(Findings findings, Console console) {
        for (Finding finding : findings.all()) {
            console.err().println(finding);
        }
    }

    static void printDiff(CatalogueDiff diff, Console console) {
        for (EntryDifference difference : diff.differences()) {
            printDifference(difference, console);
        }
    }

    static void printDifference(EntryDifference difference, Console console) {
        switch (difference) {
            case EntryDifference.Added added -> console.out().println("+ " + added.key());
            case EntryDifference.Removed removed -> console.out().println("- " + removed.key());
            case EntryDifference.Changed changed -> {
                console.out().println("~ " + changed.key());
                for (FieldDifference field : changed.fields()) {
                    console.out().println("    " + field);
                }
            }
        }
    }
}
