package org.guavathread.core.sheet;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

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

    /** Four numbers of 0 to 255; leading zeros are refused, since some systems read them as octal. */
    private static final Pattern IPV4 =
            Pattern.compile("(?!0\\d)(25[0-5]|2[0-4]\\d|1?\\d?\\d)(\\.(?!0\\d)(25[0-5]|2[0-4]\\d|1?\\d?\\d)){3}");

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
        String written = text.substring(0, colon);
        boolean bracketed = written.startsWith("[") && written.endsWith("]");
        String ip = bracketed ? written.substring(1, written.length() - 1) : written;
        if (bracketed ? !isIpv6(ip) : !IPV4.matcher(ip).matches()) {
            throw new IllegalArgumentException(
                    "\"" + text + "\" does not start with an IP number (IPv6 in brackets); names are not looked up.");
        }
        return new SocketAddressText(ip, port(text, text.substring(colon + 1)));
    }

    /** A text with a colon is never looked up as a name by InetAddress. */
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
