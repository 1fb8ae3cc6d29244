package org.apricotdeal.relay.node;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.SectionReader;
import org.apricotdeal.relay.policy.ColdBounds;

/**
 * Settings of a node in relay mode.
 *
 * @param name name of the node
 * @param failureDomain failure domain of the node
 * @param failureDomains all failure domains of the fleet
 * @param firstStart true if the whole fleet starts for the first time
 * @param callerAddress host and port on which callers are served
 * @param readinessAddress host and port on which readiness checks are answered
 * @param peerAddress host and port on which heartbeats of other nodes are received
 * @param metricsPort port of the metrics endpoint, on the host of the peer address
 * @param adapter name of the platform adapter
 * @param storeAddress host and port of the store
 * @param storeTimeoutMillis timeout of a call to the store
 * @param stallMillis time after which a replica that lost a member counts as broken
 * @param drainMillis longest time from the stop signal to the end of the process
 * @param retryWindowMillis window over which retries are counted
 * @param retryRatio retries allowed per request, over all nodes
 * @param retryAllowance additional retries allowed in a window, over all nodes
 * @param nodes minimum number of nodes among which the allowance is divided; the number of registered nodes if it is larger
 * @param memoryMegabytes memory of the machine in megabytes; 0 if it is not known
 * @param maxDescriptors maximum number of descriptors of the process; 0 for that of the operating system
 * @param coldBounds bound on the requests to a cold VM, over all nodes
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
        long retryWindowMillis,
        double retryRatio,
        double retryAllowance,
        int nodes,
        int memoryMegabytes,
        int maxDescriptors,
        ColdBounds coldBounds) {
    /** Section whose presence puts a node into relay mode. */
    public static final String SECTION = "relay";

    private static final long MAX_MILLIS = 600_000;
    private static final long MAX_MEGABYTES = 1_000_000;
    private static final int MAX_PORT = 65_535;

    /** Copies the list. */
    public RelaySettings {
        failureDomains = List.copyOf(failureDomains);
    }

    /** Returns what all callers together may hold of the memory and the descriptors. */
    ResourceLimits resources() {
        return ResourceLimits.of(memoryMegabytes, maxDescriptors);
    }

    /**
     * Returns whether a file contains settings of relay mode.
     *
     * @param file the settings file
     * @return true if it has the section {@value #SECTION}
     */
    public static boolean isRelay(IniFile file) {
        return file.sections().stream().anyMatch(section -> section.name().equals(SECTION));
    }

    /**
     * Reads and validates the settings.
     *
     * @param file the settings file
     * @param findings list to which all errors are added
     * @return the settings, which must not be used if the findings contain errors
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
                relay.bool("firstStart", false),
                listen.name("callers", null),
                listen.name("readiness", null),
                listen.name("peers", null),
                (int) listen.integer("metricsPort", null, 1, MAX_PORT),
                platform.name("adapter", "users"),
                platform.name("storeAddress", null),
                platform.integer("storeTimeoutMillis", 1_000L, 10, MAX_MILLIS),
                limits.integer("stallMillis", null, 1, MAX_MILLIS),
                limits.integer("drainMillis", null, 1, MAX_MILLIS),
                limits.integer("repeatWindowMillis", null, 1, MAX_MILLIS),
                limits.decimal("repeatRatio", null, 0, 1),
                limits.decimal("repeatAllowance", null, 0, 1_000_000),
                (int) limits.integer("nodes", 4L, 1, 10_000),
                (int) limits.integer("memoryMegabytes", 0L, 0, MAX_MEGABYTES),
                (int) limits.integer("maxDescriptors", 0L, 0, Integer.MAX_VALUE),
                new ColdBounds(optionalDecimal(limits, "coldOverrun"), optionalDecimal(limits, "coldSlack")));
        for (SectionReader reader : List.of(relay, listen, platform, limits)) {
            reader.reportUnknown();
        }
        for (IniSection section : file.sections()) {
            if (!List.of(SECTION, "listen", "platform", "limits").contains(section.name())) {
                findings.add(Message.SETTING_UNKNOWN, section.location(), SECTION + ", listen, platform, limits");
            }
        }
        return settings;
    }

    /** Reads a number that a deployment may lack, in which case a filled template leaves it empty; 0 then. */
    private static double optionalDecimal(SectionReader reader, String key) {
        return reader.text(key, "").isBlank() ? 0 : reader.decimal(key, 0.0, 0, 1_000_000);
    }
}
