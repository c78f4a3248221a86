package org.guavathread.router.http;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.guavathread.core.sheet.SocketAddressText;
import org.tinylog.Logger;

/**
 * One request and its response. State changes happen under the lock of this object; the listener is called in order,
 * outside of the lock.
 */
final class HttpExchange implements HttpCall {

    /** Progress of writing the request. */
    private enum WriteState {
        NOT_STARTED,
        WRITING,
        WRITTEN
    }

    // A complete response may be read before the completion of the write is reported, but a peer may also respond
    // without ever reading the rest of the request. In that case the connection is closed after this time.
    private static final long WRITE_COMPLETION_TIMEOUT_MILLIS = 1_000;

    private final SocketAddressText peer;
    private final HttpRequest request;
    private final HttpResponseListener listener;
    private final ConnectionPool pool;
    private final Timers timers;
    private final Runnable onEnd;
    private final SerialExecutor listenerCalls = new SerialExecutor();

    private HttpStep step = HttpStep.POOL;
    private WriteState writeState = WriteState.NOT_STARTED;
    private PooledConnection connection;
    private boolean newConnectionOnly;
    private boolean ended;
    private AnswerCompletion completion = new AnswerCompletion();
    private boolean headReceived;
    private boolean closed;
    private boolean awaitingWriteCompletion;
    private Throwable closeCause;
    private long responseBytes;
    private long lastArrivalMillis;
    private Timers.Timer deadlineTimer;
    private Timers.Timer inactivityTimer;

    HttpExchange(
            SocketAddressText peer,
            HttpRequest request,
            HttpResponseListener listener,
            ConnectionPool pool,
            Timers timers,
            Runnable onEnd) {
        this.peer = peer;
        this.request = request;
        this.listener = listener;
        this.pool = pool;
        this.timers = timers;
        this.onEnd = onEnd;
    }

    void begin() {
        if (timers.nowMillis() >= request.deadlineMillis()) {
            failNotSent(HttpStep.POOL, "its deadline had already passed", null);
            return;
        }
        synchronized (this) {
            deadlineTimer = timers.scheduleAt(request.deadlineMillis(), () -> fail("the deadline has passed", null));
        }
        pool.acquire(this);
    }

    boolean isRepeatable() {
        return request.isRepeatable();
    }

    synchronized boolean needsNewConnection() {
        return newConnectionOnly;
    }

    synchronized boolean isEnded() {
        return ended;
    }

    synchronized void atStep(HttpStep next) {
        step = next;
    }

    /** Sends the request over an open connection, unless the exchange has ended or its send deadline has passed. */
    void onConnection(PooledConnection open) {
        boolean late;
        synchronized (this) {
            if (ended) {
                late = false;
            } else {
                step = HttpStep.SEND;
                late = timers.nowMillis() >= Math.min(request.sendDeadlineMillis(), request.deadlineMillis());
                if (!late) {
                    connection = open;
                    writeState = WriteState.WRITING;
                    open.bind(this);
                    lastArrivalMillis = timers.nowMillis();
                    scheduleInactivityCheck();
                }
            }
        }
        if (late) {
            failNotSent(HttpStep.SEND, "its send deadline has passed", null);
        }
        if (open.exchange() != this) {
            pool.release(open);
            return;
        }
        write(open);
    }

    @SuppressWarnings("unchecked")
    private void write(PooledConnection open) {
        Connection<SocketAddress> target = (Connection<SocketAddress>) open.connection();
        try {
            target.write(packet(), new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
                @Override
                public void completed(WriteResult<HttpContent, SocketAddress> result) {
                    onWritten(open);
                }

                @Override
                public void failed(Throwable cause) {
                    onWriteFailed(open, cause);
                }

                @Override
                public void cancelled() {
                    onWriteFailed(open, null);
                }
            });
        } catch (RuntimeException e) {
            onWriteFailed(open, e);
        }
    }

    private HttpContent packet() {
        HttpRequestPacket.Builder builder = HttpRequestPacket.builder()
                .method(request.method())
                .uri(request.path())
                .protocol(Protocol.HTTP_1_1)
                .host(request.virtualHost() == null ? peer.toString() : request.virtualHost())
                .chunked(false);
        request.headers().forEach(builder::header);
        byte[] body = request.body();
        if (body.length > 0 || !"GET".equals(request.method())) {
            builder.contentLength(body.length);
        }
        Buffer content =
                body.length == 0 ? Buffers.EMPTY_BUFFER : Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body);
        return HttpContent.builder(builder.build()).content(content).last(true).build();
    }

    private void onWritten(PooledConnection open) {
        AnswerEnd end;
        boolean complete;
        synchronized (this) {
            complete = stopAwaitingWrite(open);
            if (!complete && (ended || connection != open)) {
                return;
            }
            writeState = WriteState.WRITTEN;
            step = headReceived ? HttpStep.ANSWER_BODY : HttpStep.ANSWER_HEAD;
            end = completion.requestWritten(open.wasWrittenBeforeClose());
        }
        if (complete) {
            pool.release(open);
        } else if (end.isWhole()) {
            complete(open, null);
        } else if (end.isEnd()) {
            failAtClose(end, closeCause);
        }
    }

    private void onWriteFailed(PooledConnection open, Throwable cause) {
        boolean retry;
        boolean complete;
        boolean hasBegun;
        synchronized (this) {
            complete = stopAwaitingWrite(open);
            if (!complete && (ended || connection != open)) {
                return;
            }
            hasBegun = open.writtenBytes() > 0 || headReceived;
            if (complete || hasBegun) {
                writeState = WriteState.WRITTEN;
                completion.requestFailed();
                retry = false;
            } else {
                writeState = WriteState.NOT_STARTED;
                retry = open.isUsed();
                newConnectionOnly = true;
                connection = null;
                closed = false;
                completion = new AnswerCompletion();
            }
        }
        if (complete) {
            pool.discard(open);
            return;
        }
        if (hasBegun) {
            fail("the connection broke while the request was written", cause);
            return;
        }
        open.unbind();
        pool.discard(open);
        if (retry) {
            pool.acquire(this);
        } else {
            failNotSent(HttpStep.SEND, "the connection broke before the first byte was written", cause);
        }
    }

    /**
     * Handles the close of the connection. While a write is pending the exchange may stay open, because only the
     * completion of the write tells whether the operating system accepted the request.
     */
    void onClosed(PooledConnection open, Throwable cause) {
        AnswerEnd end;
        synchronized (this) {
            if (ended || connection != open) {
                return;
            }
            closed = true;
            closeCause = cause;
            boolean isOrderly = cause == null && open.wasClosedOrderly();
            end = isOrderly ? completion.inputEnded() : completion.connectionLost();
        }
        if (end.isWhole()) {
            complete(open, null);
        } else if (end.isEnd()) {
            failAtClose(end, cause);
        }
    }

    private void failAtClose(AnswerEnd end, Throwable cause) {
        String reason = cause == null
                ? "the connection was closed" + (end == AnswerEnd.CLOSED_BEFORE_REQUEST ? " before the request" : "")
                : "the response cannot be read: " + cause;
        fail(reason, closeCauseOrEof(cause));
    }

    /** Returns a cause that marks a close by the peer, as opposed to a deadline, inactivity or a cancellation. */
    private static Throwable closeCauseOrEof(Throwable cause) {
        return cause == null ? new EOFException("the peer closed the connection") : cause;
    }

    /** Handles the next part of the response. */
    void onPacket(PooledConnection open, HttpResponsePacket response, byte[] bytes, boolean last) {
        HttpHead head = null;
        String problem = null;
        synchronized (this) {
            if (ended || connection != open) {
                return;
            }
            lastArrivalMillis = timers.nowMillis();
            if (!headReceived) {
                headReceived = true;
                step = HttpStep.ANSWER_BODY;
                problem = problemOf(response);
                head = headOf(response);
            }
            responseBytes += bytes.length;
            if (responseBytes > request.maxResponseBytes()) {
                problem = "the response is longer than " + request.maxResponseBytes() + " bytes";
            }
        }
        if (problem != null) {
            fail(problem, null);
            return;
        }
        deliver(head, bytes);
        if (last && lastPart().isWhole()) {
            complete(open, response);
        }
    }

    private synchronized AnswerEnd lastPart() {
        return completion.lastPart();
    }

    private void deliver(HttpHead head, byte[] bytes) {
        listenerCalls.execute(() -> {
            if (head != null) {
                callListener(() -> listener.onHead(head));
            }
            if (bytes.length > 0) {
                callListener(() -> listener.onBytes(bytes));
            }
        });
    }

    private String problemOf(HttpResponsePacket response) {
        if (response.getStatus() < 200) {
            return "the peer sent an interim response with status " + response.getStatus();
        }
        if (response.getContentLength() > request.maxResponseBytes()) {
            return "the response is longer than " + request.maxResponseBytes() + " bytes";
        }
        completion.head(response.isExpectContent() && !response.isChunked() && response.getContentLength() < 0);
        if (completion.isCloseDelimited() && !request.acceptsCloseDelimitedResponse()) {
            // A body that ends with the connection cannot be told from a truncated one.
            return "the response has neither a length nor chunks, so its end cannot be detected";
        }
        return null;
    }

    private static HttpHead headOf(HttpResponsePacket response) {
        Map<String, List<String>> headers = new HashMap<>();
        for (String name : response.getHeaders().names()) {
            List<String> values = new ArrayList<>();
            response.getHeaders().values(name).forEach(values::add);
            headers.put(name, values);
        }
        return new HttpHead(response.getStatus(), headers);
    }

    private void complete(PooledConnection open, HttpResponsePacket response) {
        boolean reusable;
        boolean awaitsWrite;
        synchronized (this) {
            if (ended) {
                return;
            }
            // A peer that answers before it has the request gets no more of it.
            boolean isCut = writeState == WriteState.WRITING && open.writtenBytes() < request.body().length;
            reusable = !closed
                    && !isCut
                    && !completion.isCloseDelimited()
                    && !open.answer().hasBytesBehind()
                    && isKeepAlive(response);
            awaitsWrite = reusable && writeState == WriteState.WRITING;
            awaitingWriteCompletion = awaitsWrite;
            end();
        }
        if (awaitsWrite) {
            timers.scheduleAt(timers.nowMillis() + WRITE_COMPLETION_TIMEOUT_MILLIS, () -> {
                if (stopAwaitingWrite(open)) {
                    pool.discard(open);
                }
            });
        } else {
            returnToPool(open, reusable);
        }
        listenerCalls.execute(() -> callListener(listener::onDone));
    }

    private void returnToPool(PooledConnection open, boolean reusable) {
        open.unbind();
        if (reusable) {
            pool.release(open);
        } else {
            pool.discard(open);
        }
    }

    /** Stops waiting for the write of a complete exchange; returns false if it was not waiting. */
    private synchronized boolean stopAwaitingWrite(PooledConnection open) {
        if (!awaitingWriteCompletion) {
            return false;
        }
        awaitingWriteCompletion = false;
        open.unbind();
        return true;
    }

    private static boolean isKeepAlive(HttpResponsePacket response) {
        String value = response.getHeader("Connection");
        boolean closes = value != null && value.toLowerCase(Locale.ROOT).contains("close");
        return response.getProtocol() == Protocol.HTTP_1_1 && !closes;
    }

    @Override
    public void cancel() {
        fail("it was cancelled", null);
    }

    /** Fails the exchange; the progress of the write decides whether the request may have run. */
    void fail(String reason, Throwable cause) {
        PooledConnection open;
        HttpExchangeException failure;
        synchronized (this) {
            if (ended) {
                return;
            }
            failure = writeState == WriteState.NOT_STARTED
                    ? new RequestNotSentException(step, peer, reason, cause)
                    : new ExchangeFailedException(step, peer, reason, cause);
            open = connection;
            end();
        }
        finish(open, failure);
    }

    /** Fails the exchange; must only be called before anything was written. */
    void failNotSent(HttpStep at, String reason, Throwable cause) {
        synchronized (this) {
            if (ended) {
                return;
            }
            end();
        }
        finish(null, new RequestNotSentException(at, peer, reason, cause));
    }

    private void finish(PooledConnection open, HttpExchangeException failure) {
        if (open != null) {
            open.unbind();
            pool.discard(open);
        }
        pool.removeWaiting(this);
        listenerCalls.execute(() -> callListener(() -> listener.onFailure(failure)));
    }

    private void end() {
        ended = true;
        if (deadlineTimer != null) {
            deadlineTimer.cancel();
        }
        if (inactivityTimer != null) {
            inactivityTimer.cancel();
        }
        onEnd.run();
    }

    private void scheduleInactivityCheck() {
        if (inactivityTimer != null) {
            inactivityTimer.cancel();
        }
        if (request.inactivityTimeoutMillis() == Long.MAX_VALUE) {
            return;
        }
        inactivityTimer =
                timers.scheduleAt(lastArrivalMillis + request.inactivityTimeoutMillis(), this::checkInactivity);
    }

    private void checkInactivity() {
        synchronized (this) {
            if (ended) {
                return;
            }
            if (timers.nowMillis() < lastArrivalMillis + request.inactivityTimeoutMillis()) {
                scheduleInactivityCheck();
                return;
            }
        }
        IOException cause =
                new IOException("Nothing arrived from " + peer + " for " + request.inactivityTimeoutMillis() + " ms.");
        fail("nothing arrived for " + request.inactivityTimeoutMillis() + " ms", cause);
    }

    private void callListener(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            Logger.error(e, "The listener of {} to {} failed; ending the exchange.", request, peer);
            fail("the listener failed", e);
        }
    }
}
