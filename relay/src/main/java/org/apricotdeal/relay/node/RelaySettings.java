package org.apricotdeal.relay.node;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.SectionReader;

/**
 * Settings of a node in relay mode.
 *
 * @param name name of the node
 * @param failureDomain its failure domain
 * @param failureDomains all failure domains
 * @param firstStart true where the whole fleet starts for the first time
 * @param callerAddress host and port for callers
 * @param readinessAddress host and port where readiness is asked for
 * @param peerAddress host and port for other nodes
 * @param metricsPort port of the metrics, on the host of the peer address
 * @param adapter name of the platform adapter
 * @param storeAddress host and port of the store
 * @param storeTimeoutMillis longest time for a call to the store
 * @param stallMillis time after which a replica that lost a member is broken
 * @param drainMillis time from the signal to stop until the process ends at the latest
 * @param repeatWindowMillis window over which repeats are counted
 * @param repeatRatio repeats for each request, over all nodes
 * @param repeatAllowance repeats in a window beside those, over all nodes
 * @param nodes number of nodes that share the allowance at least; more where more are registered
 */
public record RelaySettings(
        String name,
        FailureDomainId failureDomain,
        List<FailureDomainId> failureDomains,
        boolean firstStart,
        String callerAddress,
        String readinessAddress,
        String peerAddress,
        int metricsPort,
        String adapter,
        String storeAddress,
        long storeTimeoutMillis,
        long stallMillis,
        long drainMillis,
        long repeatWindowMillis,
        double repeatRatio,
        double repeatAllowance,
        int nodes) {
    /** Section whose presence puts a node into relay mode. */
    public static final String SECTION = "relay";

    private static final long MAX_MILLIS = 600_000;
    private static final int MAX_PORT = 65_535;

    /** Copies the list. */
    public RelaySettings {
        failureDomains = List.copyOf(failureDomains);
    }

    /**
     * Tells whether a file holds settings of this mode.
     *
     * @param file the file
     * @return true where it has the section {@value #SECTION}
     */
    public static boolean isRelay(IniFile file) {
        return file.sections().stream().anyMatch(section -> section.name().equals(SECTION));
    }

    /**
     * Reads the settings.
     *
     * @param file the INI file
     * @param findings takes all that is wrong
     * @return the settings; not to be used where the findings have errors
     */
    public static RelaySettings read(IniFile file, Findings findings) {
        SectionReader relay = new SectionReader(file.section(SECTION), findings);
        SectionReader listen = new SectionReader(file.section("listen"), findings);
        SectionReader platform = new SectionReader(file.section("platform"), findings);
        SectionReader limits = new SectionReader(file.section("limits"), findings);
        RelaySettings settings = new RelaySettings(
                relay.name("name", null),
                new FailureDomainId(relay.name("failureDomain", null)),
                relay.names("failureDomains", null).stream()
                        .map(FailureDomainId::new)
                        .toList(),
                relay.flag("firstStart", false),
                listen.name("callers", null),
                listen.name("readiness", null),
                listen.name("peers", null),
                (int) listen.whole("metricsPort", null, 1, MAX_PORT),
                platform.name("adapter", "users"),
                platform.name("storeAddress", null),
                platform.whole("storeTimeoutMillis", 1_000L, 10, MAX_MILLIS),
                limits.whole("stallMillis", null, 1, MAX_MILLIS),
                limits.whole("drainMillis", null, 1, MAX_MILLIS),
                limits.whole("repeatWindowMillis", null, 1, MAX_MILLIS),
                limits.decimal("repeatRatio", null, 0, 1),
                limits.decimal("repeatAllowance", null, 0, 1_000_000),
                (int) limits.whole("nodes", 4L, 1, 10_000));
        for (SectionReader reader : List.of(relay, listen, platform, limits)) {
            reader.reportUnknown();
        }
        for (IniSection section : file.sections()) {
            if (!List.of(SECTION, "listen", "platform", "limits").contains(section.name())) {
                findings.add(Message.SETTING_UNKNOWN, section.place(), SECTION + ", listen, platform, limits");
            }
        }
        return settings;
    }
}
