package org.guavathread.core.sheet;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * An IP address and a port. Host names are not accepted.
 *
 * <pre>{@code
 * SocketAddressText address = SocketAddressText.parse("127.0.0.1:8080");
 * }</pre>
 *
 * @param ip the IP address as text, without brackets
 * @param port the port, 1 to 65535
 */
public record SocketAddressText(String ip, int port) {

    private static final int MAX_PORT = 65_535;

    /** Four numbers of 0 to 255; leading zeros are rejected, since some systems read them as octal. */
    private static final Pattern IPV4 =
            Pattern.compile("(?!0\\d)(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!0\\d)(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}");

    /**
     * Parses {@code IP:port}; an IPv6 address is ipText in brackets.
     *
     * @param text the text, for example {@code "127.0.0.1:8080"}
     * @return the address
     * @throws IllegalArgumentException if the text has no port, the port is out of range, or the address is not an
     *     IP address; names are not looked up
     */
    public static SocketAddressText parse(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address; write IP:port.");
        }
        String ipText = text.substring(0, colon);
        boolean bracketed = ipText.startsWith("[") && ipText.endsWith("]");
        String ip = bracketed ? ipText.substring(1, ipText.length() - 1) : ipText;
        if (bracketed ? !isIpv6(ip) : !IPV4.matcher(ip).matches()) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" does not start with an IP number (IPv6 in brackets); names are not looked up.");
        }
        return new SocketAddressText(ip, port(text, text.substring(colon + 1)));
    }

    /** InetAddress does not look up a text with a colon as a name. */
    private static boolean isIpv6(String ip) {
        if (!ip.matches("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")) {
            return false;
        }
        try {
            InetAddress.getByName(ip);
            return true;
        } catch (UnknownHostException e) {
            return false;
        }
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
