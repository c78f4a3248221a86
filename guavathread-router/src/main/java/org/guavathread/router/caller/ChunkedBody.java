package org.guavathread.router.caller;

import java.io.ByteArrayOutputStream;

/** Decodes a chunked body, wherever its bytes are split. Chunk extensions and trailers have no effect. */
final class ChunkedBody {

    /** Maximum length of a line with the size of a chunk and its extensions. */
    private static final int MAX_SIZE_LINE_BYTES = 1_024;

    /** Maximum total length of the trailers. */
    private static final int MAX_TRAILER_BYTES = 16 * 1024;

    /** Hexadecimal digits of the longest size: more than any body that is accepted. */
    private static final int MAX_SIZE_DIGITS = 8;

    private static final int HEXADECIMAL = 16;

    private enum Part {
        SIZE,
        EXTENSION,
        SIZE_LINE_FEED,
        DATA,
        DATA_CARRIAGE_RETURN,
        DATA_LINE_FEED,
        TRAILER_START,
        TRAILER,
        TRAILER_LINE_FEED,
        END_LINE_FEED,
        COMPLETE
    }

    /** A body that is not chunked as the protocol says. */
    static final class MalformedException extends Exception {

        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message);
        }
    }

    private final ByteArrayOutputStream data;
    private Part part = Part.SIZE;
    private long chunkSize;
    private int sizeDigits;
    private int lineBytes;
    private int trailerBytes;
    private long chunkLeft;

    /**
     * Creates a decoder.
     *
     * @param data receives the body
     */
    ChunkedBody(ByteArrayOutputStream data) {
        this.data = data;
    }

    boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /** Returns the length of the body as far as it is announced. */
    long announcedLength() {
        return data.size() + chunkLeft;
    }

    /**
     * Decodes bytes up to the end of the body.
     *
     * @param bytes the bytes
     * @param from index of the first one
     * @return index after the last one that belongs to the body
     * @throws MalformedException if they are no chunked body
     */
    int accept(byte[] bytes, int from) throws MalformedException {
        int at = from;
        while (at < bytes.length && part != Part.COMPLETE) {
            if (part == Part.DATA) {
                int length = (int) Math.min(chunkLeft, bytes.length - at);
                data.write(bytes, at, length);
                at += length;
                chunkLeft -= length;
                part = chunkLeft == 0 ? Part.DATA_CARRIAGE_RETURN : Part.DATA;
            } else {
                delimiter(bytes[at++]);
            }
        }
        return at;
    }

    private void delimiter(byte next) throws MalformedException {
        switch (part) {
            case SIZE -> size(next);
            case EXTENSION -> extension(next);
            case SIZE_LINE_FEED -> {
                expect(next, '\n');
                lineBytes = 0;
                chunkLeft = chunkSize;
                part = chunkSize == 0 ? Part.TRAILER_START : Part.DATA;
                chunkSize = 0;
                sizeDigits = 0;
            }
            case DATA_CARRIAGE_RETURN -> {
                expect(next, '\r');
                part = Part.DATA_LINE_FEED;
            }
            case DATA_LINE_FEED -> {
                expect(next, '\n');
                part = Part.SIZE;
            }
            case TRAILER_START -> part = next == '\r' ? Part.END_LINE_FEED : trailer(next);
            case TRAILER -> part = next == '\r' ? Part.TRAILER_LINE_FEED : trailer(next);
            case TRAILER_LINE_FEED -> {
                expect(next, '\n');
                part = Part.TRAILER_START;
            }
            case END_LINE_FEED -> {
                expect(next, '\n');
                part = Part.COMPLETE;
            }
            default -> throw new IllegalStateException("No delimiter is expected in part " + part + ".");
        }
    }

    private void size(byte next) throws MalformedException {
        int digit = Character.digit((char) (next & 0xff), HEXADECIMAL);
        if (digit >= 0 && sizeDigits < MAX_SIZE_DIGITS) {
            chunkSize = chunkSize * HEXADECIMAL + digit;
            sizeDigits++;
            return;
        }
        if (sizeDigits == 0 || digit >= 0) {
            throw new MalformedException("A chunk does not begin with its size.");
        }
        extension(next);
    }

    private void extension(byte next) throws MalformedException {
        boolean isFirst = part == Part.SIZE;
        if (next == '\r') {
            part = Part.SIZE_LINE_FEED;
            return;
        }
        boolean isAllowed = isFirst ? next == ';' || next == ' ' || next == '\t' : next != '\n' && next != 0;
        if (!isAllowed || ++lineBytes > MAX_SIZE_LINE_BYTES) {
            throw new MalformedException("The line with the size of a chunk is malformed or too long.");
        }
        part = Part.EXTENSION;
    }

    private Part trailer(byte next) throws MalformedException {
        if (next == '\n' || ++trailerBytes > MAX_TRAILER_BYTES) {
            throw new MalformedException("The trailers are malformed or longer than " + MAX_TRAILER_BYTES + " bytes.");
        }
        return Part.TRAILER;
    }

    private static void expect(byte next, char expected) throws MalformedException {
        if (next != expected) {
            throw new MalformedException("A chunk does not end where its size says.");
        }
    }
}
