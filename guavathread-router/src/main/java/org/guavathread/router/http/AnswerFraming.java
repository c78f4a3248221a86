package org.guavathread.router.http;

import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * How the head of an answer delimits the body that follows it (RFC 9112, section 6.3). An answer whose end two parsers could
 * place differently is malformed. So is one with a transfer coding other than chunked: the client asks for none.
 */
final class AnswerFraming {

    private static final String CONTENT_LENGTH = "Content-Length";
    private static final String TRANSFER_ENCODING = "Transfer-Encoding";
    private static final String CHUNKED = "chunked";
    private static final String END_OF_LINE = "\r\n";

    /** Decimal digits of the longest length; more do not fit in a number of 64 bits. */
    private static final int MAX_LENGTH_DIGITS = 18;

    /** Maximum length of a value in a message. */
    private static final int MAX_EXCERPT_CHARACTERS = 40;

    private static final int MINOR_VERSION_INDEX = "HTTP/1.".length();
    private static final int STATUS_INDEX = "HTTP/1.1 ".length();
    private static final int STATUS_DIGITS = 3;

    /** Statuses whose answers end with their heads, whatever these say: No Content, Not Modified. */
    private static final Set<String> STATUSES_WITHOUT_BODY = Set.of("204", "304");

    private final StringBuilder headWithoutFraming = new StringBuilder();
    private final boolean isHttp10;
    private final boolean hasNoBody;
    private boolean hasCoding;

    /** Decimal digits without leading zeros; empty if the head names no length. */
    private String length = "";

    /**
     * Reads a head.
     *
     * @param head its bytes with the empty line at the end; status line and field lines follow the grammar
     * @throws MalformedMessageException if it does not tell one end of the body
     */
    AnswerFraming(byte[] head) throws MalformedMessageException {
        String text = new String(head, StandardCharsets.ISO_8859_1);
        isHttp10 = text.charAt(MINOR_VERSION_INDEX) == '0';
        hasNoBody = STATUSES_WITHOUT_BODY.contains(text.substring(STATUS_INDEX, STATUS_INDEX + STATUS_DIGITS));
        int from = text.indexOf(END_OF_LINE) + END_OF_LINE.length();
        keep(text.substring(0, from));
        for (int to; !text.startsWith(END_OF_LINE, from); from = to) {
            to = text.indexOf(END_OF_LINE, from) + END_OF_LINE.length();
            readField(text.substring(from, to));
        }
        check();
    }

    private void readField(String line) throws MalformedMessageException {
        if (isNamed(line, CONTENT_LENGTH)) {
            readLength(valueOf(line));
        } else if (isNamed(line, TRANSFER_ENCODING)) {
            readCoding(valueOf(line));
        } else {
            keep(line);
        }
    }

    private void readLength(String value) throws MalformedMessageException {
        String read = decimal(value);
        if (!length.isEmpty() && !length.equals(read)) {
            throw new MalformedMessageException(
                    "The answer has the different lengths " + length + " and " + read + ".");
        }
        length = read;
    }

    private void readCoding(String value) throws MalformedMessageException {
        if (hasCoding || !CHUNKED.equalsIgnoreCase(value)) {
            throw new MalformedMessageException(
                    "The Transfer-Encoding \"" + excerpt(value) + "\" is not chunked, or not the only one.");
        }
        hasCoding = true;
    }

    private static boolean isNamed(String line, String name) {
        return line.startsWith(":", name.length()) && line.regionMatches(true, 0, name, 0, name.length());
    }

    private static String valueOf(String line) {
        return line.substring(line.indexOf(':') + 1).strip();
    }

    private void keep(String line) {
        headWithoutFraming.append(line);
    }

    /** Returns a length without leading zeros. */
    private static String decimal(String value) throws MalformedMessageException {
        int from = 0;
        while (from < value.length() - 1 && value.charAt(from) == '0') {
            from++;
        }
        String digits = value.substring(from);
        if (digits.isEmpty()
                || digits.length() > MAX_LENGTH_DIGITS
                || !digits.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedMessageException(
                    "The Content-Length \"" + excerpt(value) + "\" is no decimal number of up to 18 digits.");
        }
        return digits;
    }

    private void check() throws MalformedMessageException {
        if (hasCoding && isHttp10) {
            throw new MalformedMessageException("The answer is one of HTTP/1.0, which has no transfer codings.");
        }
        if (hasCoding && !length.isEmpty()) {
            throw new MalformedMessageException("The answer has both a length and a transfer coding.");
        }
    }

    private static String excerpt(String value) {
        return value.substring(0, Math.min(MAX_EXCERPT_CHARACTERS, value.length()));
    }

    /** Returns the head with the framing in the only form that all parsers read alike. */
    byte[] canonicalHead() {
        StringBuilder head = new StringBuilder(headWithoutFraming);
        if (isChunked()) {
            head.append(TRANSFER_ENCODING).append(": ").append(CHUNKED).append(END_OF_LINE);
        } else if (!length.isEmpty()) {
            head.append(CONTENT_LENGTH).append(": ").append(length).append(END_OF_LINE);
        }
        return head.append(END_OF_LINE).toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Tells whether chunks follow the head. */
    boolean isChunked() {
        return hasCoding && !hasNoBody;
    }

    /** Returns the length of a body that is not chunked, in bytes; the greatest number if it ends with the connection. */
    long unchunkedLength() {
        if (hasNoBody) {
            return 0;
        }
        return length.isEmpty() ? Long.MAX_VALUE : Long.parseLong(length);
    }
}
