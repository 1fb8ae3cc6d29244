package org.apricotdeal.kernel.misc;

/**
 * A network address.
 *
 * @param host name or IP address
 * @param port port number
 */
public record HostPort(String host, int port) {
    /**
     * Parses an address.
     *
     * @param address host and port, separated by the last colon
     * @return the address, split into host and port
     * @throws IllegalArgumentException if the host is empty, or no number follows the last colon
     */
    public static HostPort parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address is not of the form host:port: " + address);
        }
        return new HostPort(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
