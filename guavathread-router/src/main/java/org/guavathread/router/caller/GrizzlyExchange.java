package org.guavathread.router.caller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

import org.glassfish.grizzly.CloseListener;
import org.glassfish.grizzly.CloseType;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.WriteHandler;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.time.Clock;
import org.guavathread.router.http.HttpDate;
import org.tinylog.Logger;

/** Exchange on top of a suspended Grizzly response. */
final class GrizzlyExchange implements CallerExchange {

    private final RequestId id;
    private final Request request;
    private final Response response;
    private final ReceivedRequest received;
    private final long arrivedAtMillis;
    private final RequestReceiver receiver;
    private final Clock clock;
    private final CloseListener<Closeable, CloseType> closeListener = (closeable, type) -> onCallerDisconnected();
    private final AtomicBoolean answered = new AtomicBoolean();
    private final List<Runnable> disconnectActions = new ArrayList<>();
    private boolean disconnected;
    private volatile boolean complete;

    GrizzlyExchange(
            RequestId id,
            Request request,
            Response response,
            ReceivedRequest received,
            RequestReceiver receiver,
            long arrivedAtMillis,
            Clock clock) {
        this.id = id;
        this.request = request;
        this.response = response;
        this.received = received;
        this.receiver = receiver;
        this.clock = clock;
        this.arrivedAtMillis = arrivedAtMillis;
        request.getRequest().getConnection().addCloseListener(closeListener);
    }

    @Override
    public RequestId id() {
        return id;
    }

    @Override
    public long arrivedAtMillis() {
        return arrivedAtMillis;
    }

    @Override
    public String method() {
        return request.getMethod().getMethodString();
    }

    @Override
    public String path() {
        // Grizzly takes what follows ";jsessionid=" out of the path.
        String target = received.target();
        int query = target.indexOf('?');
        return target.startsWith("/")
                ? target.substring(0, query < 0 ? target.length() : query)
                : request.getRequestURI();
    }

    @Override
    public String query() {
        return request.getQueryString() == null ? "" : "?" + request.getQueryString();
    }

    @Override
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeader(name));
    }

    @Override
    public Map<String, String> headers() {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : request.getHeaderNames()) {
            request.getHeaders(name).forEach(value -> headers.merge(name, value, (a, b) -> a + ", " + b));
        }
        return headers;
    }

    @Override
    public byte[] body() {
        return received.body();
    }

    @Override
    public void onDisconnect(Runnable action) {
        synchronized (disconnectActions) {
            if (!disconnected) {
                disconnectActions.add(action);
                return;
            }
        }
        action.run();
    }

    @Override
    public boolean isFinished() {
        return answered.get() || isDisconnected();
    }

    @Override
    public void refuse(Refusal refusal) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        if (refusal.retryAfterMillis() > 0) {
            response.setHeader("Retry-After", Long.toString(RefusalWriter.retryAfterSeconds(refusal)));
        }
        writeWhole(
                refusal.code().httpStatus(),
                Map.of("Content-Type", "application/json"),
                RefusalWriter.body(refusal, id));
    }

    @Override
    public void answer(int status, Map<String, String> headers, byte[] content) {
        if (answered.compareAndSet(false, true)) {
            writeWhole(status, headers, content);
        }
    }

    @Override
    public Optional<StreamBody> openStream(int status, Map<String, String> headers) {
        if (isDisconnected() || !answered.compareAndSet(false, true)) {
            return Optional.empty();
        }
        response.setStatus(status);
        response.setHeader(HttpDate.HEADER, HttpDate.now());
        headers.forEach(response::setHeader);
        response.setHeader(CallerServer.REQUEST_ID_HEADER, id.value());
        return Optional.of(new GrizzlyStream());
    }

    private boolean isDisconnected() {
        synchronized (disconnectActions) {
            return disconnected;
        }
    }

    private void onCallerDisconnected() {
        List<Runnable> actions;
        synchronized (disconnectActions) {
            if (disconnected || complete) {
                return;
            }
            disconnected = true;
            actions = List.copyOf(disconnectActions);
            disconnectActions.clear();
        }
        actions.forEach(Runnable::run);
    }

    private void writeWhole(int status, Map<String, String> headers, byte[] content) {
        complete = true;
        response.setStatus(status);
        response.setHeader(HttpDate.HEADER, HttpDate.now());
        headers.forEach(response::setHeader);
        response.setHeader(CallerServer.REQUEST_ID_HEADER, id.value());
        response.setContentLength(content.length);
        try {
            response.getOutputStream().write(content);
            response.getOutputStream().flush();
        } catch (IOException e) {
            Logger.debug("The caller of {} disconnected before its response was written: {}.", id, e.getMessage());
        }
        resume();
    }

    private void resume() {
        // A keep-alive connection serves many requests; a listener that each of them left behind would be a leak.
        request.getRequest().getConnection().removeCloseListener(closeListener);
        // Grizzly recycles the request when it resumes.
        Connection<?> connection = request.getRequest().getConnection();
        if (response.isSuspended()) {
            response.resume();
        }
        receiver.onResponseComplete(connection);
    }

    /**
     * Writes parts without blocking; aborts the stream if the caller reads nothing for too long. To a caller of
     * HTTP/1.0, which would take an orderly close for the end of a complete answer, an aborted stream ends with a reset.
     */
    private final class GrizzlyStream implements StreamBody {

        private final NIOOutputStream out = response.getNIOOutputStream();
        private long stalledSinceMillis;
        private int pendingBytes;
        private boolean awaitingWritable;
        private boolean ended;
        private boolean closed;
        private final List<byte[]> queue = new ArrayList<>();

        @Override
        public synchronized boolean write(byte[] part) {
            if (ended || isDisconnected()) {
                return false;
            }
            queue.add(part);
            pendingBytes += part.length;
            drain();
            boolean stalled = awaitingWritable
                    && (pendingBytes > CallerLimits.MAX_PENDING_ANSWER_BYTES
                            || clock.nowMillis() - stalledSinceMillis > CallerLimits.WRITE_STALL_LIMIT_MILLIS);
            if (stalled) {
                abort();
            }
            return !ended;
        }

        @Override
        public synchronized void finish() {
            if (ended) {
                return;
            }
            ended = true;
            if (!awaitingWritable) {
                close();
            }
        }

        @Override
        public synchronized void abort() {
            if (closed) {
                return;
            }
            closed = true;
            ended = true;
            queue.clear();
            complete = true;
            Connection<?> connection = request.getRequest().getConnection();
            if (request.getProtocol() == Protocol.HTTP_1_1) {
                // The last chunk, or a part of the announced length, is missing.
                connection.closeSilently();
            } else {
                ConnectionReset.reset(connection);
            }
            resume();
        }

        private void drain() {
            try {
                while (!queue.isEmpty() && out.canWrite()) {
                    byte[] part = queue.remove(0);
                    pendingBytes -= part.length;
                    out.write(part);
                    out.flush();
                }
            } catch (IOException e) {
                abort();
                return;
            }
            if (!queue.isEmpty() && !awaitingWritable) {
                awaitingWritable = true;
                stalledSinceMillis = clock.nowMillis();
                out.notifyCanWrite(new WritableHandler());
            }
        }

        private void close() {
            if (closed) {
                return;
            }
            closed = true;
            complete = true;
            try {
                out.close();
            } catch (IOException e) {
                Logger.debug("The caller of {} disconnected before its stream ended: {}.", id, e.getMessage());
            }
            resume();
        }

        private synchronized void writable() {
            awaitingWritable = false;
            drain();
            if (ended && !awaitingWritable && queue.isEmpty()) {
                close();
            }
        }

        /** Resumes writing when the socket accepts bytes again. */
        private final class WritableHandler implements WriteHandler {

            @Override
            public void onWritePossible() {
                writable();
            }

            @Override
            public void onError(Throwable failure) {
                abort();
            }
        }
    }
}
