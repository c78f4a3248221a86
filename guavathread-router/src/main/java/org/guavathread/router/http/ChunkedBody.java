package org.guavathread.router.http;

/** Decodes a chunked body, wherever its bytes are split (RFC 9112, section 7.1). Extensions and trailers have no effect. */
public final class ChunkedBody {

    /** Maximum total length of the trailers. */
    private static final int MAX_TRAILER_BYTES = 16 * 1024;

    private enum Part {
        SIZE_LINE,
        DATA,
        DATA_CARRIAGE_RETURN,
        DATA_LINE_FEED,
        TRAILERS,
        COMPLETE
    }

    /** Receives the data of the chunks. */
    @FunctionalInterface
    public interface Sink {

        /**
         * Takes the next bytes of the data.
         *
         * @param bytes holds the bytes
         * @param from index of the first one
         * @param length their number, 1 or more
         */
        void write(byte[] bytes, int from, int length);
    }

    private final Sink data;
    private final FieldLines trailers = new FieldLines();
    private ChunkSizeLine sizeLine = new ChunkSizeLine();
    private Part part = Part.SIZE_LINE;
    private int trailerBytes;
    private long chunkLeft;
    private long decodedBytes;

    /**
     * Creates a decoder.
     *
     * @param data receives the body
     */
    public ChunkedBody(Sink data) {
        this.data = data;
    }

    /**
     * Tells whether the body has arrived whole.
     *
     * @return true from the end of the trailers on
     */
    public boolean isComplete() {
        return part == Part.COMPLETE;
    }

    /**
     * Returns the length of the body as far as it is announced.
     *
     * @return bytes that have arrived and those that are missing of the present chunk
     */
    public long announcedLength() {
        return decodedBytes + chunkLeft;
    }

    /**
     * Decodes bytes up to the end of the body.
     *
     * @param bytes the bytes
     * @param from index of the first one
     * @param to index after the last one
     * @return index after the last one that belongs to the body
     * @throws MalformedMessageException if they are no chunked body
     */
    public int accept(byte[] bytes, int from, int to) throws MalformedMessageException {
        int at = from;
        while (at < to && part != Part.COMPLETE) {
            if (part == Part.DATA) {
                int length = (int) Math.min(chunkLeft, to - at);
                data.write(bytes, at, length);
                at += length;
                decodedBytes += length;
                chunkLeft -= length;
                part = chunkLeft == 0 ? Part.DATA_CARRIAGE_RETURN : Part.DATA;
            } else {
                delimiter(bytes[at++]);
            }
        }
        return at;
    }

    private void delimiter(byte next) throws MalformedMessageException {
        switch (part) {
            case SIZE_LINE -> sizeLine(next);
            case DATA_CARRIAGE_RETURN -> {
                expect(next, '\r');
                part = Part.DATA_LINE_FEED;
            }
            case DATA_LINE_FEED -> {
                expect(next, '\n');
                part = Part.SIZE_LINE;
            }
            case TRAILERS -> trailer(next);
            default -> throw new IllegalStateException("No delimiter is expected in part " + part + ".");
        }
    }

    private void sizeLine(byte next) throws MalformedMessageException {
        sizeLine.accept(next);
        if (sizeLine.isComplete()) {
            chunkLeft = sizeLine.size();
            sizeLine = new ChunkSizeLine();
            part = chunkLeft == 0 ? Part.TRAILERS : Part.DATA;
        }
    }

    private void trailer(byte next) throws MalformedMessageException {
        trailers.accept(next);
        if (++trailerBytes > MAX_TRAILER_BYTES) {
            throw new MalformedMessageException("The trailers exceed " + MAX_TRAILER_BYTES + " bytes.");
        }
        part = trailers.isComplete() ? Part.COMPLETE : Part.TRAILERS;
    }

    private static void expect(byte next, char expected) throws MalformedMessageException {
        if (next != expected) {
            throw new MalformedMessageException("A chunk does not end where its size says.");
        }
    }
}
