package org.apricotdeal.kernel.misc;

import java.util.regex.Pattern;

/**
 * A network address.
 *
 * @param host name or IP address
 * @param port port number
 */
public record HostPort(String host, int port) {
    private static final int MAX_PORT = 65_535;
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,5}");

    /**
     * Parses an address.
     *
     * @param address host and port, separated by the last colon
     * @return the address, split into host and port
     * @throws IllegalArgumentException if the host is empty, or no port number follows the last colon
     */
    public static HostPort parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is not of the form host:port: " + address);
        }
        String port = address.substring(colon + 1);
        if (!DIGITS.matcher(port).matches() || Integer.parseInt(port) > MAX_PORT) {
            throw new IllegalArgumentException("address has no port number from 0 to " + MAX_PORT + ": " + address);
        }
        return new HostPort(address.substring(0, colon), Integer.parseInt(port));
    }
}
