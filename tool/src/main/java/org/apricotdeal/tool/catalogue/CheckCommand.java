package org.apricotdeal.tool.catalogue;

import java.nio.file.Path;
import java.util.List;

import joptsimple.OptionSet;
import org.apricotdeal.catalogue.ini.IniCatalogue;
import org.apricotdeal.kernel.message.Finding;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.tool.command.BaseCommand;
import org.apricotdeal.tool.command.Console;
import org.apricotdeal.tool.command.ExitCode;

/** Checks a catalogue in an INI file. */
final class CheckCommand extends BaseCommand {
    CheckCommand() {
        super("catalogue check", "FILE", "Check a whole catalogue in an INI file and report all findings.");
    }

    /** A finding as JSON. */
    record FindingView(String file, int line, String key, String severity, int code, String text) {
        static FindingView of(Finding finding) {
            return new FindingView(
                    finding.location().file(),
                    finding.location().line(),
                    finding.location().key(),
                    finding.message().severity().name(),
                    finding.message().code(),
                    finding.text());
        }
    }

    @Override
    protected ExitCode execute(OptionSet options, Console console) {
        Findings findings = new Findings();
        Path file = Path.of(CatalogueFiles.onlyArgument(options, "the file"));
        IniCatalogue catalogue = IniCatalogue.read(file, findings);
        catalogue.checkWhole(findings);
        if (isJson(options)) {
            List<FindingView> views =
                    findings.all().stream().map(FindingView::of).toList();
            printJson(console, views);
        } else {
            CatalogueFiles.printFindings(findings, console);
            console.out()
                    .printf(
                            "%s: %d entries, %d findings%n",
                            file.getFileName(),
                            catalogue.entries().size(),
                            findings.all().size());
        }
        return findings.hasErrors() ? ExitCode.DATA : ExitCode.OK;
    }
}
