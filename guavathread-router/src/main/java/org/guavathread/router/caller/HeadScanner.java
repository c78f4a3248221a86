package org.guavathread.router.caller;

import java.util.Locale;
import java.util.Optional;

import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;

/**
 * Scans the head of a request byte by byte for input that other parsers could interpret differently: line feeds without
 * a carriage return, folded header lines, control characters, and request lines that are not HTTP. Such requests are
 * refused before the HTTP codec sees them.
 */
final class HeadScanner {

    /** Maximum length of the request line; longer than the path of any route. */
    private static final int MAX_FIRST_LINE_BYTES = 8 * 1024;

    /** How much of each header line is kept: enough for the names of the headers that delimit the body. */
    private static final int NAME_BYTES = 32;

    private final StringBuilder firstLine = new StringBuilder();
    private final StringBuilder header = new StringBuilder();
    private final int maxBytes;
    private int bytes;
    private boolean hasLength;
    private boolean hasCoding;
    private boolean firstLineDone;
    private boolean lineEmpty = true;
    private boolean afterCarriageReturn;
    private boolean complete;

    /** Creates a scanner for a head of limited size. */
    HeadScanner(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates a scanner in the complete state, for a request whose head was read elsewhere. */
    static HeadScanner afterHead() {
        HeadScanner scanner = new HeadScanner(0);
        scanner.complete = true;
        return scanner;
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
        if (!firstLineDone && wasEmpty) {
            // Some callers send an empty line after a body that does not belong to it.
            return Optional.empty();
        }
        if (!firstLineDone) {
            firstLineDone = true;
            boolean http = firstLine.toString().matches("[A-Z]+ \\S+ HTTP/1\\.[01]");
            return http ? Optional.empty() : malformed("The first line is no HTTP/1.1 request.");
        }
        String name = header.toString().toLowerCase(Locale.ROOT);
        hasLength |= name.startsWith("content-length:");
        hasCoding |= name.startsWith("transfer-encoding:");
        header.setLength(0);
        complete = wasEmpty;
        // The codec drops the Content-Length of a chunked body, so only the scanner sees both headers.
        return complete && hasLength && hasCoding
                ? malformed("The request has both Content-Length and Transfer-Encoding.")
                : Optional.empty();
    }

    private Optional<Refusal> character(byte next) {
        if (next >= 0 && next < ' ' && next != '\t' || next == 127) {
            return malformed("The head holds a control character.");
        }
        if (firstLineDone && lineEmpty && (next == ' ' || next == '\t')) {
            return malformed("A header line is folded.");
        }
        lineEmpty = false;
        if (firstLineDone && header.length() < NAME_BYTES) {
            header.append((char) (next & 0xff));
        }
        if (!firstLineDone) {
            firstLine.append((char) (next & 0xff));
            if (firstLine.length() > MAX_FIRST_LINE_BYTES) {
                return malformed("The first line is longer than " + MAX_FIRST_LINE_BYTES + " bytes.");
            }
        }
        return Optional.empty();
    }

    boolean isComplete() {
        return complete;
    }
}
