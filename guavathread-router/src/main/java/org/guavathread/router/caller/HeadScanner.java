package org.guavathread.router.caller;

import java.util.Optional;

import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;

/**
 * Scans the head of a request byte by byte for input that other parsers could interpret differently: line feeds without
 * a carriage return, folded header lines, header names with blanks, control characters, and request lines that are not
 * HTTP. Such requests are refused before the HTTP codec sees them.
 */
final class HeadScanner {

    /** Maximum length of the request line; longer than the path of any route. */
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;

    /** Maximum length of a method name; longer than any registered one. */
    private static final int MAX_METHOD_BYTES = 24;

    private final StringBuilder requestLine = new StringBuilder();
    private final int maxBytes;
    private int bytes;
    private boolean requestLineComplete;
    private boolean lineEmpty = true;
    private boolean headerNameComplete;
    private boolean methodComplete;
    private boolean afterCarriageReturn;
    private boolean complete;

    HeadScanner(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    private static Optional<Refusal> malformed(String reason) {
        return Optional.of(Refusal.notRun(RefusalCode.BAD_REQUEST, reason));
    }

    /** Scans the next byte; returns a refusal if the head is malformed or too large. */
    Optional<Refusal> accept(byte next) {
        if (++bytes > maxBytes) {
            String reason = "Request line and headers exceed " + maxBytes + " bytes.";
            return Optional.of(Refusal.notRun(RefusalCode.HEAD_TOO_LARGE, reason));
        }
        if (afterCarriageReturn && next != '\n') {
            return malformed("A carriage return is not followed by a line feed.");
        }
        switch (next) {
            case '\r' -> {
                afterCarriageReturn = true;
                return Optional.empty();
            }
            case '\n' -> {
                return lineFeed();
            }
            default -> {
                return character(next);
            }
        }
    }

    private Optional<Refusal> lineFeed() {
        if (!afterCarriageReturn) {
            return malformed("A line ends without a carriage return.");
        }
        afterCarriageReturn = false;
        boolean wasEmpty = lineEmpty;
        lineEmpty = true;
        if (!requestLineComplete && wasEmpty) {
            // Some callers send an empty line after a body that does not belong to it.
            return Optional.empty();
        }
        if (!requestLineComplete) {
            requestLineComplete = true;
            boolean http = requestLine.toString().matches("[A-Z]+ \\S+ HTTP/1\\.[01]");
            return http ? Optional.empty() : malformed("The first line is no HTTP/1.1 request.");
        }
        if (!wasEmpty && !headerNameComplete) {
            return malformed("A header line has no colon.");
        }
        headerNameComplete = false;
        complete = wasEmpty;
        return Optional.empty();
    }

    private Optional<Refusal> character(byte next) {
        if (next >= 0 && next < ' ' && next != '\t' || next == 127) {
            return malformed("The head holds a control character.");
        }
        if (requestLineComplete && lineEmpty && (next == ' ' || next == '\t')) {
            return malformed("A header line is folded.");
        }
        if (requestLineComplete && !headerNameComplete) {
            if (next == ' ' || next == '\t' || next == ':' && lineEmpty) {
                return malformed("A header line has no name directly before its colon.");
            }
            headerNameComplete = next == ':';
        }
        lineEmpty = false;
        if (!requestLineComplete) {
            requestLine.append((char) (next & 0xff));
            methodComplete |= next == ' ' && requestLine.length() > 1;
            boolean noMethod = !methodComplete && (next < 'A' || next > 'Z' || requestLine.length() > MAX_METHOD_BYTES);
            if (noMethod) {
                // Refused at once: bytes of another protocol may never end the line.
                return malformed("The first line is no HTTP/1.1 request.");
            }
            if (requestLine.length() > MAX_REQUEST_LINE_BYTES) {
                return malformed("The first line is longer than " + MAX_REQUEST_LINE_BYTES + " bytes.");
            }
        }
        return Optional.empty();
    }

    boolean isComplete() {
        return complete;
    }
}
