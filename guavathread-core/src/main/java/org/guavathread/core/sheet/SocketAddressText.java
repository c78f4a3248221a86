package org.guavathread.core.sheet;

/**
 * An IP number and a port.
 *
 * <pre>{@code
 * SocketAddressText address = SocketAddressText.parse("127.0.0.1:8080");
 * }</pre>
 *
 * @param ip the IP number as text, without brackets
 * @param port the port, 1 to 65535
 */
public record SocketAddressText(String ip, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code IP:port}; an IPv6 number stands in brackets.
     *
     * @param text the text, for example {@code "127.0.0.1:8080"}
     * @return the address
     * @throws IllegalArgumentException if the text has no port, or the port is out of range; names are not looked up
     */
    public static SocketAddressText parse(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address; write IP:port.");
        }
        String ip = text.substring(0, colon).replace("[", "").replace("]", "");
        if (!ip.matches("[0-9.]+") && !ip.matches("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" does not start with an IP number; names are not used.");
        }
        return new SocketAddressText(ip, port(text, text.substring(colon + 1)));
    }

    private static int port(String text, String digits) {
        if (!digits.matches("[0-9]{1,5}") || Integer.parseInt(digits) < 1 || Integer.parseInt(digits) > MAX_PORT) {
            throw new IllegalArgumentException("\"" + text + "\" ends with a wrong port; write 1 to " + MAX_PORT + ".");
        }
        return Integer.parseInt(digits);
    }

    @Override
    public String toString() {
        return (ip.contains(":") ? "[" + ip + "]" : ip) + ":" + port;
    }
}
