package org.guavathread.router.http;

/** Classes of bytes in messages of HTTP (RFC 9110, sections 5.5 and 5.6). */
final class HttpBytes {

    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final byte DELETE = 127;

    private HttpBytes() {}

    /** Tells whether a byte may be part of a token, such as the name of a field. */
    static boolean isToken(byte b) {
        return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || TOKEN_SYMBOLS.indexOf(b) >= 0;
    }

    /** Tells whether a byte may be part of the value of a field: all but control characters, with the tab. */
    static boolean isText(byte b) {
        return b < 0 || b >= ' ' && b != DELETE || b == '\t';
    }

    /** Shows a byte in a message. */
    static String show(byte b) {
        return String.format("0x%02x", b);
    }
}
