package org.apricotdeal.tool.environment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.SectionReader;
import org.apricotdeal.tool.command.BaseCommand.UsageException;

/**
 * Where the platform and the nodes are: from {@code --settings FILE} with {@code [platform] keyValueAddress} and
 * {@code [nodes] adminAddresses}, or from {@code --platform} and {@code --node}, which go first.
 */
public final class Addresses {
    private final OptionSpec<String> settings;
    private final OptionSpec<String> platform;
    private final OptionSpec<String> nodes;

    /**
     * Adds the options for addresses to a command.
     *
     * @param parser the command's options
     */
    public Addresses(OptionParser parser) {
        settings = parser.accepts("settings", "INI file with [platform] keyValueAddress and [nodes] adminAddresses")
                .withRequiredArg()
                .describedAs("FILE");
        platform = parser.accepts("platform", "address of the key-value service")
                .withRequiredArg()
                .describedAs("HOST:PORT");
        nodes = parser.accepts("node", "address of a node for operators; may be repeated")
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .describedAs("HOST:PORT");
    }

    /**
     * Returns the address of the key-value service.
     *
     * @param options the command line
     * @return host and port
     */
    public String platform(OptionSet options) {
        String address = options.has(platform)
                ? options.valueOf(platform)
                : read(options).platform();
        if (address.isEmpty()) {
            throw new UsageException("the platform's address is missing: give --platform or --settings");
        }
        return address;
    }

    /**
     * Returns the nodes' addresses for operators.
     *
     * @param options the command line
     * @return hosts and ports
     */
    public List<String> nodes(OptionSet options) {
        List<String> addresses =
                options.has(nodes) ? options.valuesOf(nodes) : read(options).nodes();
        if (addresses.isEmpty()) {
            throw new UsageException("the nodes' addresses are missing: give --node or --settings");
        }
        return addresses;
    }

    /** Addresses of a settings file. */
    private record Read(String platform, List<String> nodes) {}

    private Read read(OptionSet options) {
        if (!options.has(settings)) {
            return new Read("", List.of());
        }
        Findings findings = new Findings();
        IniFile file = IniFile.read(Path.of(options.valueOf(settings)), findings);
        SectionReader platformSection = new SectionReader(file.section("platform"), findings);
        SectionReader nodesSection = new SectionReader(file.section("nodes"), findings);
        Read read = new Read(
                platformSection.name("keyValueAddress", null),
                new ArrayList<>(nodesSection.names("adminAddresses", List.of())));
        platformSection.reportUnknown();
        nodesSection.reportUnknown();
        if (findings.hasErrors()) {
            throw new UsageException("the settings have findings\n" + findings);
        }
        return read;
    }
}
