package org.apricotdeal.kernel.misc;

/**
 * A network address.
 *
 * @param host name or IP address
 * @param port port number
 */
public record HostPort(String host, int port) {
    /**
     * Splits an address.
     *
     * @param address host and port, separated by the last colon
     * @return its parts
     * @throws IllegalArgumentException where there is no host, or no number behind the colon
     */
    public static HostPort parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("no host and port: " + address);
        }
        return new HostPort(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
