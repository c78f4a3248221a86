package org.guavathread.router.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Holds the bytes of one answer against the grammar of HTTP/1.1 (RFC 9112) before the codec gets them: the codec takes more
 * than the grammar allows, and could find another end of the body than the server meant. Not thread-safe.
 */
final class AnswerReader {

    private static final byte[] END_OF_LINE = {'\r', '\n'};
    private static final byte[] END_OF_CHUNKS = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final int maxHeadBytes;
    private final StatusLineCheck statusLine = new StatusLineCheck();
    private final FieldLines fields = new FieldLines();
    private final ByteArrayOutputStream head = new ByteArrayOutputStream();
    private final ByteArrayOutputStream passed = new ByteArrayOutputStream();
    private AnswerFraming framing;
    private ChunkedBody chunks;
    private long unchunkedBytesLeft;
    private boolean hasBytesBehind;

    /**
     * Creates a reader.
     *
     * @param maxHeadBytes maximum length of status line and fields, in bytes
     */
    AnswerReader(int maxHeadBytes) {
        this.maxHeadBytes = maxHeadBytes;
    }

    /**
     * Takes the next bytes.
     *
     * @param bytes holds the bytes as they were read, from its first one on; not copied
     * @param length their number
     * @return the bytes for the codec, up to the end of the answer; none before the head has arrived whole
     * @throws MalformedMessageException if they are no part of an answer; the reader must not be used any more
     */
    ByteBuffer accept(byte[] bytes, int length) throws MalformedMessageException {
        if (framing != null && chunks == null) {
            return ByteBuffer.wrap(bytes, 0, acceptUnchunked(length));
        }
        passed.reset();
        int at = framing == null ? acceptHead(bytes, length) : 0;
        if (chunks != null) {
            acceptChunks(bytes, at, length);
        } else if (framing != null) {
            passed.write(bytes, at, acceptUnchunked(length - at));
        }
        return ByteBuffer.wrap(passed.toByteArray());
    }

    /** Returns the index after the last byte that belongs to the head. */
    private int acceptHead(byte[] bytes, int length) throws MalformedMessageException {
        int limit = Math.min(length, maxHeadBytes - head.size());
        int at = 0;
        while (at < limit && !fields.isComplete()) {
            byte next = bytes[at++];
            if (statusLine.isComplete()) {
                fields.accept(next);
            } else {
                statusLine.accept(next);
            }
        }
        head.write(bytes, 0, at);
        if (fields.isComplete()) {
            framing = new AnswerFraming(head.toByteArray());
            passed.writeBytes(framing.canonicalHead());
            chunks = framing.isChunked() ? new ChunkedBody(this::passChunk) : null;
            unchunkedBytesLeft = framing.unchunkedLength();
        } else if (at < length) {
            throw new MalformedMessageException("The head of the answer exceeds " + maxHeadBytes + " bytes.");
        }
        return at;
    }

    /** Returns how many of the bytes that have arrived belong to a body without chunks. */
    private int acceptUnchunked(int arrived) {
        int belonging = (int) Math.min(unchunkedBytesLeft, arrived);
        unchunkedBytesLeft -= belonging;
        hasBytesBehind |= belonging < arrived;
        return belonging;
    }

    private void acceptChunks(byte[] bytes, int from, int to) throws MalformedMessageException {
        int end = chunks.accept(bytes, from, to);
        if (chunks.isComplete()) {
            passed.writeBytes(END_OF_CHUNKS);
        }
        hasBytesBehind = end < to;
    }

    /** Passes data on as a chunk without extensions, which the codec does not read. */
    private void passChunk(byte[] bytes, int from, int length) {
        passed.writeBytes(Integer.toHexString(length).getBytes(StandardCharsets.US_ASCII));
        passed.writeBytes(END_OF_LINE);
        passed.write(bytes, from, length);
        passed.writeBytes(END_OF_LINE);
    }

    /** Tells whether the answer has arrived whole; one that ends with its connection never has. */
    boolean isComplete() {
        return framing != null && (chunks == null ? unchunkedBytesLeft == 0 : chunks.isComplete());
    }

    /** Tells whether the peer has sent more than the answer, so that the connection cannot be used any more. */
    boolean hasBytesBehind() {
        return hasBytesBehind;
    }
}
