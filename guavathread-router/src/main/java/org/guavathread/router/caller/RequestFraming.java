package org.guavathread.router.caller;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * How a head delimits the body that follows it. Detects requests whose end two parsers could place differently. The body
 * of such a request could hide a second request (request smuggling), so it is refused.
 */
final class RequestFraming {

    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String EXPECT = "expect";

    private final List<String> contentLengths = new ArrayList<>();
    private final List<String> transferEncodings = new ArrayList<>();
    private final ByteArrayOutputStream headWithoutFraming = new ByteArrayOutputStream();
    private String target = "";
    private int hosts;
    private boolean awaitsContinue;
    private boolean hasIdempotencyKey;

    /**
     * Reads a head that {@link HeadScanner} has accepted.
     *
     * @param head its bytes with the empty line at the end
     */
    RequestFraming(byte[] head) {
        boolean isRequestLine = true;
        for (String line : new String(head, StandardCharsets.ISO_8859_1).split("\r\n")) {
            if (line.isEmpty()) {
                // Callers may send empty lines before the request line.
                continue;
            }
            if (isRequestLine) {
                target = line.split(" ")[1];
                isRequestLine = false;
                keep(line);
            } else {
                readHeader(line);
            }
        }
        keep("");
    }

    private void readHeader(String line) {
        int colon = line.indexOf(':');
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = line.substring(colon + 1).strip();
        switch (name) {
            case CONTENT_LENGTH -> contentLengths.add(value);
            case TRANSFER_ENCODING -> transferEncodings.add(value);
            case EXPECT -> awaitsContinue |= "100-continue".equalsIgnoreCase(value);
            default -> {
                hosts += "host".equals(name) ? 1 : 0;
                hasIdempotencyKey |= "idempotency-key".equals(name);
                keep(line);
            }
        }
    }

    private void keep(String line) {
        headWithoutFraming.writeBytes((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns why the end of the request cannot be told, if so. */
    Optional<String> fault() {
        if (contentLengths.size() > 1 || contentLengths.stream().anyMatch(l -> !l.matches("[0-9]{1,18}"))) {
            return Optional.of("The Content-Length is not one decimal number; send a single one.");
        }
        if (transferEncodings.size() > 1
                || transferEncodings.stream().anyMatch(c -> !"chunked".equalsIgnoreCase(c.strip()))) {
            return Optional.of("The Transfer-Encoding \"" + String.join(", ", transferEncodings)
                    + "\" is not supported; use chunked.");
        }
        if (!contentLengths.isEmpty() && !transferEncodings.isEmpty()) {
            return Optional.of("The request has both Content-Length and Transfer-Encoding.");
        }
        return hosts == 1 ? Optional.empty() : Optional.of("The request does not have exactly one Host header.");
    }

    boolean isChunked() {
        return !transferEncodings.isEmpty();
    }

    /** Returns the length of a body that is not chunked, if the framing has no fault. */
    long contentLength() {
        return contentLengths.isEmpty() ? 0 : Long.parseLong(contentLengths.get(0));
    }

    /** Tells whether the caller sends its body only when it is told to. */
    boolean awaitsContinue() {
        return awaitsContinue;
    }

    boolean hasIdempotencyKey() {
        return hasIdempotencyKey;
    }

    String target() {
        return target;
    }

    /** Returns the head without the headers that concern the body's transfer. */
    byte[] headWithoutFraming() {
        return headWithoutFraming.toByteArray();
    }
}
