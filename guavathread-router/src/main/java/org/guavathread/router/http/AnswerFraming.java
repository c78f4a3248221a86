package org.guavathread.router.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * How the head of an answer delimits the body that follows it (RFC 9112, section 6.3). An answer whose end two parsers could
 * place differently is malformed. So is one with a transfer coding other than chunked: the client asks for none.
 */
final class AnswerFraming {

    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";
    private static final String END_OF_LINE = "\r\n";

    /** Decimal digits of the longest length; more do not fit in a number of 64 bits. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final int MINOR_VERSION_INDEX = "HTTP/1.".length();
    private static final int STATUS_INDEX = "HTTP/1.1 ".length();
    private static final int STATUS_DIGITS = 3;

    /** Statuses whose answers end with their heads, whatever these say: No Content, Not Modified. */
    private static final Set<String> STATUSES_WITHOUT_BODY = Set.of("204", "304");

    private final StringBuilder headWithoutFraming = new StringBuilder();
    private final List<String> lengths = new ArrayList<>();
    private final List<String> codings = new ArrayList<>();
    private final boolean isHttp10;
    private final boolean hasNoBody;

    /**
     * Reads a head.
     *
     * @param head its bytes with the empty line at the end; status line and field lines follow the grammar
     * @throws MalformedMessageException if it does not tell one end of the body
     */
    AnswerFraming(byte[] head) throws MalformedMessageException {
        String[] lines = new String(head, StandardCharsets.ISO_8859_1).split(END_OF_LINE);
        isHttp10 = lines[0].charAt(MINOR_VERSION_INDEX) == '0';
        hasNoBody = STATUSES_WITHOUT_BODY.contains(lines[0].substring(STATUS_INDEX, STATUS_INDEX + STATUS_DIGITS));
        keep(lines[0]);
        for (int i = 1; i < lines.length; i++) {
            readField(lines[i]);
        }
        check();
    }

    private void readField(String line) throws MalformedMessageException {
        int colon = line.indexOf(':');
        String value = line.substring(colon + 1).strip();
        switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
            case CONTENT_LENGTH -> lengths.add(decimal(value));
            case TRANSFER_ENCODING -> codings.add(value);
            default -> keep(line);
        }
    }

    private void keep(String line) {
        headWithoutFraming.append(line).append(END_OF_LINE);
    }

    /** Returns a length without leading zeros. */
    private static String decimal(String value) throws MalformedMessageException {
        String digits = value.replaceFirst("^0+(?=.)", "");
        if (digits.length() > MAX_LENGTH_DIGITS || !digits.matches("[0-9]+")) {
            throw new MalformedMessageException(
                    "The Content-Length \"" + value + "\" is no decimal number of up to 18 digits.");
        }
        return digits;
    }

    private void check() throws MalformedMessageException {
        if (lengths.stream().distinct().count() > 1) {
            throw new MalformedMessageException("The answer has the different lengths " + lengths + ".");
        }
        if (codings.isEmpty()) {
            return;
        }
        if (codings.size() > 1 || !CHUNKED.equalsIgnoreCase(codings.get(0))) {
            throw new MalformedMessageException("The transfer coding is " + codings + ", not chunked alone.");
        }
        if (isHttp10) {
            throw new MalformedMessageException("The answer is one of HTTP/1.0, which has no transfer codings.");
        }
        if (!lengths.isEmpty()) {
            throw new MalformedMessageException("The answer has both a length and a transfer coding.");
        }
    }

    /** Returns the head with the framing in the only form that all parsers read alike. */
    byte[] canonicalHead() {
        StringBuilder head = new StringBuilder(headWithoutFraming);
        if (isChunked()) {
            head.append("Transfer-Encoding: chunked\r\n");
        } else if (!lengths.isEmpty()) {
            head.append("Content-Length: ").append(lengths.get(0)).append(END_OF_LINE);
        }
        return head.append(END_OF_LINE).toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Tells whether chunks follow the head. */
    boolean isChunked() {
        return !codings.isEmpty() && !hasNoBody;
    }

    /** Returns the length of a body that is not chunked, in bytes; the greatest number if it ends with the connection. */
    long unchunkedLength() {
        if (hasNoBody) {
            return 0;
        }
        return lengths.isEmpty() ? Long.MAX_VALUE : Long.parseLong(lengths.get(0));
    }
}
