package org.guavathread.router.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/**
 * Holds the bytes of one answer against the grammar of HTTP/1.1 (RFC 9112) before the codec gets them: the codec takes more
 * than the grammar allows, and could find another end of the body than the server meant. Not thread-safe.
 */
final class AnswerReader {

    private final int maxHeadBytes;
    private final StatusLineCheck statusLine = new StatusLineCheck();
    private final FieldLines fields = new FieldLines();
    private final ByteArrayOutputStream head = new ByteArrayOutputStream();

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
     * @param bytes the bytes as they were read
     * @return the bytes for the codec; none before the head has arrived whole
     * @throws MalformedMessageException if they are no part of an answer; the reader must not be used any more
     */
    ByteBuffer accept(ByteBuffer bytes) throws MalformedMessageException {
        if (fields.isComplete()) {
            return bytes;
        }
        while (bytes.hasRemaining() && !fields.isComplete()) {
            acceptHead(bytes.get());
        }
        if (!fields.isComplete()) {
            return ByteBuffer.allocate(0);
        }
        byte[] canonicalHead = new AnswerFraming(head.toByteArray()).canonicalHead();
        ByteBuffer passed = ByteBuffer.allocate(canonicalHead.length + bytes.remaining());
        return passed.put(canonicalHead).put(bytes).flip();
    }

    private void acceptHead(byte next) throws MalformedMessageException {
        if (head.size() == maxHeadBytes) {
            throw new MalformedMessageException("The head of the answer exceeds " + maxHeadBytes + " bytes.");
        }
        head.write(next);
        if (statusLine.isComplete()) {
            fields.accept(next);
        } else {
            statusLine.accept(next);
        }
    }
}
