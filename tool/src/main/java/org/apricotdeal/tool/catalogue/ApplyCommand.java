package org.apricotdeal.tool.catalogue;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.catalogue.change.CatalogueChange;
import org.apricotdeal.catalogue.change.CatalogueWriter;
import org.apricotdeal.catalogue.change.ChangeMachine;
import org.apricotdeal.catalogue.change.ChangeOutcome;
import org.apricotdeal.catalogue.change.ChangeRules;
import org.apricotdeal.catalogue.change.ChangeVerdict;
import org.apricotdeal.catalogue.change.StoredCatalogue;
import org.apricotdeal.catalogue.check.EntryPlaces;
import org.apricotdeal.catalogue.diff.CatalogueDiff;
import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.SourceLocation;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;
import org.apricotdeal.tool.environment.Addresses;
import org.apricotdeal.tool.environment.Environment;

/** Brings the entries of a file into the catalogue. */
final class ApplyCommand extends BaseCommand {
    private static final long DEFAULT_TIMEOUT_MILLIS = 10_000;

    private final Environment environment;
    private final Addresses addresses;
    private final OptionSpec<String> delete;
    private final OptionSpec<Void> replace;
    private final OptionSpec<Long> base;
    private final OptionSpec<Void> rebase;
    private final OptionSpec<Void> create;
    private final OptionSpec<Void> dryRun;
    private final OptionSpec<String> changeId;
    private final OptionSpec<Long> timeoutMillis;

    ApplyCommand(Environment environment) {
        super("catalogue apply", "[FILE]", "Put the entries of an INI file into the catalogue.");
        this.environment = environment;
        this.addresses = new Addresses(parser());
        delete = parser().accepts("delete", "key of an entry to delete, such as \"caller moser\"; may be repeated")
                .withRequiredArg()
                .describedAs("ENTRY");
        replace = parser().accepts("replace", "the file is the whole catalogue: delete the entries that it lacks");
        base = parser().accepts(
                        "base",
                        "version that the change is based on; default: the file's baseVersion, else the one in force")
                .withRequiredArg()
                .ofType(Long.class);
        rebase = parser().accepts("rebase", "carry the change over other operators' changes of other entries");
        create = parser().accepts("create", "make the first catalogue of a platform that has none");
        dryRun = parser().accepts("dry-run", "show what the change comes to and write nothing");
        changeId = parser().accepts("change-id", "id of the change; give it again to send the same change once more")
                .withRequiredArg();
        timeoutMillis = parser().accepts("timeout-millis", "time after which to give up")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_TIMEOUT_MILLIS);
    }

    /** The outcome as JSON. */
    record OutcomeView(
            String outcome,
            String changeId,
            long version,
            String detail,
            Set<String> touched,
            List<DifferenceView> differing) {
        OutcomeView(String outcome, String changeId, long version, String detail) {
            this(outcome, changeId, version, detail, Set.of(), List.of());
        }
    }

    @Override
    protected ExitCode execute(OptionSet options, Console console) {
        Findings findings = new Findings();
        IniCatalogue file = file(options, findings);
        if (findings.hasErrors()) {
            CatalogueFiles.printFindings(findings, console);
            return ExitCode.DATA;
        }
        KeyValueStore store = environment.store(addresses.platform(options));
        return switch (CatalogueFiles.read(store)) {
            case Result.Err<StoredCatalogue, CatalogueFiles.ReadFailure>(var failure) -> {
                console.err().println(failure.detail() + "; nothing was written");
                yield failure.code();
            }
            case Result.Ok<StoredCatalogue, CatalogueFiles.ReadFailure>(StoredCatalogue current) ->
                apply(store, current, file, options, console);
        };
    }

    private IniCatalogue file(OptionSet options, Findings findings) {
        List<?> files = options.nonOptionArguments();
        if (files.size() > 1 || (files.isEmpty() && !options.has(delete))) {
            throw new UsageException("expected one file, or --delete");
        }
        if (files.isEmpty() && options.has(replace)) {
            throw new UsageException("--replace needs a file");
        }
        return files.isEmpty()
                ? IniCatalogue.parse("(none)", "", findings)
                : IniCatalogue.read(Path.of(String.valueOf(files.getFirst())), findings);
    }

    private ExitCode apply(
            KeyValueStore store, StoredCatalogue current, IniCatalogue file, OptionSet options, Console console) {
        boolean isAbsent = current.equals(StoredCatalogue.EMPTY);
        if (isAbsent && !options.has(create)) {
            console.err().println("the platform has no catalogue; --create makes the first one");
            return ExitCode.DATA;
        }
        CatalogueChange change = change(current, file, options);
        EntryPlaces places = places(file);
        if (options.has(dryRun)) {
            return tryOut(current, change, options.has(rebase), places, console);
        }
        ChangeMachine machine = new ChangeMachine(change, options.has(rebase), places, options.valueOf(timeoutMillis));
        ChangeOutcome outcome;
        try {
            outcome = new CatalogueWriter(store, environment.clock()).write(machine);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            outcome = new ChangeOutcome.Unknown("interrupted");
        }
        OutcomeView view = view(change.changeId(), outcome);
        if (isJson(options)) {
            printJson(console, view);
        }
        if (outcome instanceof ChangeOutcome.Invalid(Findings findings)) {
            CatalogueFiles.printFindings(findings, console);
        }
        if (!isJson(options)) {
            print(view, outcome, console);
        }
        return code(outcome);
    }

    private CatalogueChange change(StoredCatalogue current, IniCatalogue file, OptionSet options) {
        String id = options.has(changeId) ? options.valueOf(changeId) : environment.newChangeId();
        if (!Names.isValid(id)) {
            throw new UsageException("--change-id: expected letters, digits, dots, dashes, underscores or colons");
        }
        OptionalLong fileBase = file.baseVersion();
        long baseVersion = options.has(base)
                ? options.valueOf(base)
                : fileBase.orElse(current.catalogue().version());
        CatalogueChange.Builder change =
                CatalogueChange.builder(id, baseVersion).putAll(file.entries());
        if (options.has(replace)) {
            Set<String> kept = new HashSet<>();
            file.entries().forEach(entry -> kept.add(entry.key()));
            for (String key : current.catalogue().entries().keySet()) {
                if (!kept.contains(key)) {
                    change.delete(key);
                }
            }
        }
        options.valuesOf(delete).forEach(change::delete);
        return change.build();
    }

    private static EntryPlaces places(IniCatalogue file) {
        Set<String> inFile = new HashSet<>();
        for (Entry entry : file.entries()) {
            inFile.add(entry.key());
        }
        EntryPlaces elsewhere = EntryPlaces.of("catalogue");
        return (key, field) -> {
            SourceLocation place = inFile.contains(key) ? file.place(key, field) : elsewhere.place(key, field);
            return place;
        };
    }

    private static ExitCode tryOut(
            StoredCatalogue current, CatalogueChange change, boolean mayRebase, EntryPlaces places, Console console) {
        return switch (ChangeRules.decide(current, change, mayRebase, places)) {
            case ChangeVerdict.Applicable(StoredCatalogue next) -> {
                CatalogueFiles.printDiff(
                        CatalogueDiff.between(
                                current.catalogue().entries().values(),
                                next.catalogue().entries().values()),
                        console);
                console.out().println("would make version " + next.catalogue().version());
                yield ExitCode.OK;
            }
            case ChangeVerdict.AlreadyAccepted(long version) -> {
                console.out().println("accepted before as version " + version);
                yield ExitCode.OK;
            }
            case ChangeVerdict.NothingToDo(long version) -> {
                console.out().println("nothing to do: version " + version + " has it all");
                yield ExitCode.OK;
            }
            case ChangeVerdict.Outdated outdated -> {
                printOutdated(outdated, console);
                yield ExitCode.CONFLICT;
            }
            case ChangeVerdict.BaseUnknown(long baseVersion, long version) -> {
                console.out().println("would be refused: " + baseUnknown(baseVersion, version));
                yield ExitCode.CONFLICT;
            }
            case ChangeVerdict.Invalid(Findings findings) -> {
                CatalogueFiles.printFindings(findings, console);
                yield ExitCode.DATA;
            }
        };
    }

    private static OutcomeView view(String id, ChangeOutcome outcome) {
        return switch (outcome) {
            case ChangeOutcome.Accepted(long version, boolean wasRebased, boolean before) ->
                new OutcomeView(
                        "accepted",
                        id,
                        version,
                        (before ? "found accepted by reading" : "written") + (wasRebased ? ", rebased" : ""));
            case ChangeOutcome.Unchanged(long version) ->
                new OutcomeView("unchanged", id, version, "the version in force has it all");
            case ChangeOutcome.Lost(ChangeVerdict.Outdated outdated) ->
                new OutcomeView(
                        "lost",
                        id,
                        outdated.version(),
                        "based on version " + outdated.baseVersion(),
                        outdated.touched(),
                        DifferenceView.of(outdated.differing()));
            case ChangeOutcome.BaseUnknown(long baseVersion, long version) ->
                new OutcomeView("lost", id, version, baseUnknown(baseVersion, version));
            case ChangeOutcome.Invalid(Findings findings) ->
                new OutcomeView("invalid", id, 0, findings.all().size() + " findings");
            case ChangeOutcome.NotDone(String detail) -> new OutcomeView("not-done", id, 0, detail);
            case ChangeOutcome.Unknown(String detail) -> new OutcomeView("unknown", id, 0, detail);
        };
    }

    private static void print(OutcomeView view, ChangeOutcome outcome, Console console) {
        switch (outcome) {
            case ChangeOutcome.Lost(ChangeVerdict.Outdated outdated) -> printOutdated(outdated, console);
            case ChangeOutcome.NotDone notDone ->
                console.err().println("not done: " + notDone.detail() + "; nothing was written");
            case ChangeOutcome.Unknown unknown ->
                console.err()
                        .println("outcome unknown: " + unknown.detail()
                                + "; send the same change again with --change-id " + view.changeId());
            case ChangeOutcome.Invalid invalid -> console.err().println("invalid: " + view.detail());
            default ->
                console.out()
                        .println(view.outcome() + ": version " + view.version() + ", change " + view.changeId() + ", "
                                + view.detail());
        }
    }

    private static void printOutdated(ChangeVerdict.Outdated outdated, Console console) {
        console.out()
                .println("lost: the change is based on version " + outdated.baseVersion() + ", version "
                        + outdated.version() + " is in force");
        console.out().println("touched since by others: " + String.join(", ", outdated.touched()));
        if (outdated.canRebase()) {
            console.out().println("no entry was touched by both sides; --rebase carries the change over");
            return;
        }
        console.out().println("touched by both sides, from the version in force to the change:");
        outdated.differing().forEach(difference -> CatalogueFiles.printDifference(difference, console));
    }

    private static String baseUnknown(long baseVersion, long version) {
        return "the changes between base version " + baseVersion + " and version " + version
                + ", which is in force, are not known; export the catalogue again";
    }

    private static ExitCode code(ChangeOutcome outcome) {
        return switch (outcome) {
            case ChangeOutcome.Accepted accepted -> ExitCode.OK;
            case ChangeOutcome.Unchanged unchanged -> ExitCode.OK;
            case ChangeOutcome.Lost lost -> ExitCode.CONFLICT;
            case ChangeOutcome.BaseUnknown unknown -> ExitCode.CONFLICT;
            case ChangeOutcome.Invalid invalid -> ExitCode.DATA;
            case ChangeOutcome.NotDone notDone -> ExitCode.UNAVAILABLE;
            case ChangeOutcome.Unknown unknown -> ExitCode.UNAVAILABLE;
        };
    }
}
