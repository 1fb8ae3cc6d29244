package org.apricotdeal.node.settings;

import java.util.List;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.settings.IniFile;
import org.apricotdeal.kernel.settings.IniSection;
import org.apricotdeal.kernel.settings.SectionReader;

/**
 * The settings that a node reads when it starts. Everything else comes from the catalogue.
 *
 * @param node the node's identity and addresses
 * @param platform addresses of the platform's services
 * @param http limits on callers' requests
 * @param timing periods and timeouts of the node
 */
public record NodeSettings(Node node, Platform platform, Http http, Timing timing) {
    private static final long MAX_PERIOD_MILLIS = 600_000;

    /**
     * The node's identity and addresses.
     *
     * @param id unique name of the node
     * @param failureDomain the node's failure domain
     * @param host address to listen on
     * @param callerPort port for callers; 0 selects a free port
     * @param peerPort port for other nodes and operators; 0 selects a free port
     */
    public record Node(NodeId id, FailureDomainId failureDomain, String host, int callerPort, int peerPort) {}

    /**
     * Addresses of the platform's services.
     *
     * @param keyValueAddress host and port of the key-value service
     * @param vmListAddress host and port of the VM list
     * @param callTimeoutMillis timeout of a call to the platform
     */
    public record Platform(String keyValueAddress, String vmListAddress, long callTimeoutMillis) {}

    /**
     * Limits on callers' requests.
     *
     * @param maxHeaderBytes maximum total size of a request's headers
     * @param maxBodyBytes maximum size of a request's body
     * @param maxRequestsInProgress maximum number of requests on the node, queued or running; further requests are rejected
     * @param bodyTimeoutMillis time within which a request's body must be received
     * @param idleTimeoutMillis time after which a connection without traffic is closed
     * @param maxTokens maximum number of tokens that a request may ask for
     */
    public record Http(
            int maxHeaderBytes,
            int maxBodyBytes,
            int maxRequestsInProgress,
            long bodyTimeoutMillis,
            long idleTimeoutMillis,
            int maxTokens) {}

    /**
     * Periods and timeouts of the node.
     *
     * @param vmListMillis period at which the VM list is read
     * @param drainDelayMillis delay of a graceful stop between reporting not ready and rejecting new requests
     * @param drainTimeoutMillis maximum time that a graceful stop waits for requests in progress
     * @param firstTokenTimeoutMillis time without a first token after which a stream is moved to another replica
     * @param progressTimeoutMillis time without a further token after which a stream is moved to another replica
     */
    public record Timing(
            long vmListMillis,
            long drainDelayMillis,
            long drainTimeoutMillis,
            long firstTokenTimeoutMillis,
            long progressTimeoutMillis) {}

    /**
     * Reads and checks the settings.
     *
     * @param file the parsed INI file
     * @param findings receives all errors and warnings
     * @return the settings; must not be used if the findings contain errors
     */
    public static NodeSettings read(IniFile file, Findings findings) {
        SectionReader node = new SectionReader(file.section("node"), findings);
        SectionReader platform = new SectionReader(file.section("platform"), findings);
        SectionReader http = new SectionReader(file.section("http"), findings);
        SectionReader timing = new SectionReader(file.section("timing"), findings);
        NodeSettings settings =
                new NodeSettings(readNode(node), readPlatform(platform), readHttp(http), readTiming(timing));
        for (SectionReader reader : List.of(node, platform, http, timing)) {
            reader.reportUnknown();
        }
        reportUnknownSections(file, findings);
        return settings;
    }

    private static Node readNode(SectionReader section) {
        return new Node(
                new NodeId(section.name("name", null)),
                new FailureDomainId(section.name("failureDomain", null)),
                section.text("host", "127.0.0.1"),
                (int) section.integer("callerPort", 8080L, 0, 65_535),
                (int) section.integer("peerPort", 8081L, 0, 65_535));
    }

    private static Platform readPlatform(SectionReader section) {
        String keyValueAddress = section.name("keyValueAddress", null);
        return new Platform(
                keyValueAddress,
                section.name("vmListAddress", keyValueAddress),
                section.integer("callTimeoutMillis", 2_000L, 10, 60_000));
    }

    private static Http readHttp(SectionReader section) {
        return new Http(
                (int) section.integer("maxHeaderBytes", 8_192L, 1_024, 65_536),
                (int) section.integer("maxBodyBytes", 1_048_576L, 1_024, 67_108_864),
                (int) section.integer("maxRequestsInProgress", 10_000L, 1, 100_000),
                section.integer("bodyTimeoutMillis", 10_000L, 100, MAX_PERIOD_MILLIS),
                section.integer("idleTimeoutMillis", 60_000L, 100, MAX_PERIOD_MILLIS),
                (int) section.integer("maxTokens", 8_192L, 1, 1_000_000));
    }

    private static Timing readTiming(SectionReader section) {
        return new Timing(
                section.integer("vmListMillis", 1_000L, 20, MAX_PERIOD_MILLIS),
                section.integer("drainDelayMillis", 2_000L, 0, MAX_PERIOD_MILLIS),
                section.integer("drainTimeoutMillis", 120_000L, 0, MAX_PERIOD_MILLIS),
                section.integer("firstTokenTimeoutMillis", 5_000L, 50, MAX_PERIOD_MILLIS),
                section.integer("progressTimeoutMillis", 2_000L, 50, MAX_PERIOD_MILLIS));
    }

    private static void reportUnknownSections(IniFile file, Findings findings) {
        List<String> known = List.of("node", "platform", "http", "timing");
        for (IniSection section : file.sections()) {
            if (!known.contains(section.name())) {
                findings.add(Message.SETTING_UNKNOWN, section.location(), String.join(", ", known));
            }
        }
    }
}
