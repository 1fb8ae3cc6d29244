package org.apricotdeal.standins.platform;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.kernel.message.Findings;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.settings.SectionReader;

/**
 * Settings of a platform stand-in.
 *
 * @param host address to listen on
 * @param port main port
 * @param extraPorts further ports to the same service, so that callers can be cut off from it separately
 * @param isHosted false where another process hosts it
 * @param readsPerSecond calls that only read and are taken in a second
 * @param writesPerSecond calls that write or renew and are taken in a second
 * @param vmListLagMillis delay until a change of a VM shows in the list
 * @param weightStoreConcurrentLoads loads of weights that run at the same time
 * @param slowMillis time added to each call of the key-value service
 * @param lostReplyShare share of writes whose reply is lost, from 0 to 1
 * @param seed seed of the choice of lost replies
 */
public record PlatformSettings(
        String host,
        int port,
        List<Integer> extraPorts,
        boolean isHosted,
        long readsPerSecond,
        long writesPerSecond,
        long vmListLagMillis,
        int weightStoreConcurrentLoads,
        long slowMillis,
        double lostReplyShare,
        long seed) {
    private static final int MAX_PORT = 65_535;
    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_PER_SECOND = 1_000_000;

    /** Copies the list. */
    public PlatformSettings {
        extraPorts = List.copyOf(extraPorts);
    }

    /**
     * Reads the settings.
     *
     * @param reader reader of the section {@code platform NAME}
     * @param findings takes what is wrong
     * @return the settings
     */
    public static PlatformSettings read(SectionReader reader, Findings findings) {
        return new PlatformSettings(
                reader.text("host", "127.0.0.1"),
                (int) reader.integer("port", null, 1, MAX_PORT),
                extraPorts(reader, findings),
                reader.bool("hosted", true),
                reader.integer("readsPerSecond", 2_000L, 1, MAX_PER_SECOND),
                reader.integer("writesPerSecond", 400L, 1, MAX_PER_SECOND),
                reader.integer("vmListLagMillis", 1_000L, 0, MAX_MILLIS),
                (int) reader.integer("weightStoreConcurrentLoads", 4L, 1, MAX_PER_SECOND),
                reader.integer("slowMillis", 0L, 0, MAX_MILLIS),
                reader.decimal("lostReplyShare", 0.0, 0, 1),
                reader.integer("seed", 1L, 0, Long.MAX_VALUE));
    }

    /**
     * Returns all ports.
     *
     * @return the main port and the extra ones
     */
    public List<Integer> ports() {
        List<Integer> ports = new ArrayList<>();
        ports.add(port);
        ports.addAll(extraPorts);
        return ports;
    }

    private static List<Integer> extraPorts(SectionReader reader, Findings findings) {
        List<Integer> ports = new ArrayList<>();
        for (String name : reader.names("extraPorts", List.of())) {
            try {
                ports.add(Integer.parseInt(name));
            } catch (NumberFormatException e) {
                findings.add(Message.SETTING_INVALID, reader.locationOf("extraPorts"), name, "port numbers");
            }
        }
        return ports;
    }
}
