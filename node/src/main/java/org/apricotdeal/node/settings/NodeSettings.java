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
 * What a node is told at its start; everything else comes from the catalogue.
 *
 * @param node the node's identity and addresses
 * @param platform where the platform is
 * @param http bounds on callers' requests
 * @param timing periods of the node's duties
 */
public record NodeSettings(Node node, Platform platform, Http http, Timing timing) {
    private static final long MAX_PERIOD_MILLIS = 600_000;

    /**
     * The node's identity and addresses.
     *
     * @param id name of the node
     * @param failureDomain its failure domain
     * @param host address to listen on
     * @param callerPort port for callers; 0 takes a free one
     * @param peerPort port for other nodes and operators; 0 takes a free one
     */
    public record Node(NodeId id, FailureDomainId failureDomain, String host, int callerPort, int peerPort) {}

    /**
     * Where the platform is.
     *
     * @param keyValueAddress host and port of the key-value service
     * @param vmListAddress host and port of the VM list
     * @param callTimeoutMillis longest time to wait for an answer
     */
    public record Platform(String keyValueAddress, String vmListAddress, long callTimeoutMillis) {}

    /**
     * Bounds on callers' requests.
     *
     * @param maxHeaderBytes size of all headers of a request
     * @param maxBodyBytes size of a request's body
     * @param maxRequestsInProgress requests held at once, waiting or in progress; further ones are refused
     * @param bodyTimeoutMillis time within which a body has to arrive
     * @param idleTimeoutMillis time after which a connection without traffic is closed
     * @param maxTokens most tokens that a request may ask for
     */
    public record Http(
            int maxHeaderBytes,
            int maxBodyBytes,
            int maxRequestsInProgress,
            long bodyTimeoutMillis,
            long idleTimeoutMillis,
            int maxTokens) {}

    /**
     * Periods of the node's duties.
     *
     * @param vmListMillis time between two readings of the VM list
     * @param drainDelayMillis time between reporting not ready and refusing new requests at a graceful stop
     * @param drainTimeoutMillis longest time that a graceful stop waits for requests in progress
     * @param firstTokenTimeoutMillis time without a first token after which a stream is moved
     * @param progressTimeoutMillis time between two tokens after which a stream is moved
     */
    public record Timing(
            long vmListMillis,
            long drainDelayMillis,
            long drainTimeoutMillis,
            long firstTokenTimeoutMillis,
            long progressTimeoutMillis) {}

    /**
     * Reads the settings.
     *
     * @param file the INI file
     * @param findings takes all that is wrong
     * @return the settings; not to be used where the findings have errors
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

    private static Node readNode(SectionReader in) {
        return new Node(
                new NodeId(in.name("name", null)),
                new FailureDomainId(in.name("failureDomain", null)),
                in.text("host", "127.0.0.1"),
                (int) in.whole("callerPort", 8080L, 0, 65_535),
                (int) in.whole("peerPort", 8081L, 0, 65_535));
    }

    private static Platform readPlatform(SectionReader in) {
        String keyValueAddress = in.name("keyValueAddress", null);
        return new Platform(
                keyValueAddress,
                in.name("vmListAddress", keyValueAddress),
                in.whole("callTimeoutMillis", 2_000L, 10, 60_000));
    }

    private static Http readHttp(SectionReader in) {
        return new Http(
                (int) in.whole("maxHeaderBytes", 8_192L, 1_024, 65_536),
                (int) in.whole("maxBodyBytes", 1_048_576L, 1_024, 67_108_864),
                (int) in.whole("maxRequestsInProgress", 10_000L, 1, 100_000),
                in.whole("bodyTimeoutMillis", 10_000L, 100, MAX_PERIOD_MILLIS),
                in.whole("idleTimeoutMillis", 60_000L, 100, MAX_PERIOD_MILLIS),
                (int) in.whole("maxTokens", 8_192L, 1, 1_000_000));
    }

    private static Timing readTiming(SectionReader in) {
        return new Timing(
                in.whole("vmListMillis", 1_000L, 20, MAX_PERIOD_MILLIS),
                in.whole("drainDelayMillis", 2_000L, 0, MAX_PERIOD_MILLIS),
                in.whole("drainTimeoutMillis", 120_000L, 0, MAX_PERIOD_MILLIS),
                in.whole("firstTokenTimeoutMillis", 5_000L, 50, MAX_PERIOD_MILLIS),
                in.whole("progressTimeoutMillis", 2_000L, 50, MAX_PERIOD_MILLIS));
    }

    private static void reportUnknownSections(IniFile file, Findings findings) {
        List<String> known = List.of("node", "platform", "http", "timing");
        for (IniSection section : file.sections()) {
            if (!known.contains(section.name())) {
                findings.add(Message.SETTING_UNKNOWN, section.place(), String.join(", ", known));
            }
        }
    }
}
