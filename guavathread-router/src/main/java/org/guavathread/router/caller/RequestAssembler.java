package org.guavathread.router.caller;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Supplier;

import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.routing.CallerBounds;
import org.guavathread.router.http.ChunkedBody;
import org.guavathread.router.http.MalformedMessageException;

/**
 * Assembles the requests of one connection from its bytes, wherever they are split. Not thread-safe.
 *
 * <pre>{@code
 * int used = assembler.accept(bytes, 0, now);
 * if (assembler.isComplete()) {
 *     handle(assembler.take());
 * }
 * }</pre>
 */
final class RequestAssembler {

    private final Supplier<CallerBounds> bounds;
    private HeadScanner scanner;
    private ByteArrayOutputStream head;
    private ByteArrayOutputStream body;
    private RequestFraming framing;
    private ChunkedBody chunks;
    private long contentLength;
    private CallerBounds inForce;
    private Refusal fault;
    private long headCompleteMillis;

    RequestAssembler(Supplier<CallerBounds> bounds) {
        this.bounds = bounds;
    }

    /** Begins a request with its first byte: the bounds may have changed while the connection was idle. */
    private void begin() {
        inForce = bounds.get();
        scanner = new HeadScanner(inForce.maxHeadBytes());
        head = new ByteArrayOutputStream();
        body = new ByteArrayOutputStream(0);
    }

    /**
     * Takes bytes up to the end of the request.
     *
     * @param bytes the bytes
     * @param from index of the first one
     * @param nowMillis the current time
     * @return index after the last one that belongs to the request
     */
    int accept(byte[] bytes, int from, long nowMillis) {
        int at = from;
        if (!isStarted() && at < bytes.length) {
            begin();
        }
        while (at < bytes.length && framing == null && fault == null) {
            byte next = bytes[at++];
            head.write(next);
            Optional<Refusal> malformed = scanner.accept(next);
            if (malformed.isPresent()) {
                fault = malformed.get();
            } else if (scanner.isComplete()) {
                headCompleteMillis = nowMillis;
                headComplete();
            }
        }
        return fault != null || framing == null ? at : acceptBody(bytes, at);
    }

    private void headComplete() {
        framing = new RequestFraming(head.toByteArray());
        Optional<String> unclear = framing.fault();
        if (unclear.isPresent()) {
            fault = Refusal.notRun(RefusalCode.BAD_REQUEST, unclear.get());
        } else if (framing.isChunked()) {
            chunks = new ChunkedBody(body::write);
        } else {
            contentLength = framing.contentLength();
            refuseIfTooLarge(contentLength);
        }
    }

    private int acceptBody(byte[] bytes, int from) {
        if (chunks == null) {
            int missing = (int) contentLength - body.size();
            int length = Math.min(missing, bytes.length - from);
            body.write(bytes, from, length);
            return from + length;
        }
        try {
            int end = chunks.accept(bytes, from, bytes.length);
            refuseIfTooLarge(chunks.announcedLength());
            return end;
        } catch (MalformedMessageException e) {
            fault = refusal(RefusalCode.BAD_REQUEST, e.getMessage());
            return bytes.length;
        }
    }

    private void refuseIfTooLarge(long length) {
        if (length > inForce.maxBodyBytes() && fault == null) {
            fault = refusal(
                    RefusalCode.TOO_LARGE,
                    "The body exceeds " + inForce.maxBodyBytes() + " bytes; send a smaller one.");
        }
    }

    /** Refuses the request that is arriving; an earlier attempt of it may have arrived whole at another host. */
    Refusal refusal(RefusalCode code, String message) {
        boolean mayHaveRun = framing != null && framing.hasIdempotencyKey();
        return mayHaveRun ? Refusal.unknown(code, message) : Refusal.notRun(code, message);
    }

    /** Returns why the connection cannot be read on, if so. */
    Optional<Refusal> fault() {
        return Optional.ofNullable(fault);
    }

    /** Tells whether a part of a request has arrived. */
    boolean isStarted() {
        return head != null;
    }

    /** Tells whether a head has arrived whole and its body has not. */
    boolean isReceivingBody() {
        return framing != null && !isComplete();
    }

    /** Tells whether the caller waits for a word before it sends the body. */
    boolean awaitsContinue() {
        return isReceivingBody() && framing.awaitsContinue() && body.size() == 0 && fault == null;
    }

    boolean isComplete() {
        if (framing == null || fault != null) {
            return false;
        }
        return chunks == null ? body.size() == contentLength : chunks.isComplete();
    }

    /** Returns the request that is complete, and begins the next one. */
    ReceivedRequest take() {
        ReceivedRequest request = new ReceivedRequest(
                framing.target(), framing.headWithoutFraming(), body.toByteArray(), headCompleteMillis);
        head = null;
        body = null;
        framing = null;
        chunks = null;
        return request;
    }
}
