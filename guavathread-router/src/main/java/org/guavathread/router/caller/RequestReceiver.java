package org.guavathread.router.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.ProcessorExecutor;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.routing.CallerBounds;
import org.guavathread.core.time.Clock;
import org.guavathread.router.caller.CallerServer.RequestStep;
import org.tinylog.Logger;

/**
 * Receives requests whole before the HTTP codec sees them. All bytes of a connection go through one assembler under one
 * lock, and the codec is given the head of the next request only after the previous one has been answered and its thread
 * has left the codec, so no two threads are ever in the codec of one connection.
 *
 * <p>Goes on reading while a request is being served, since Grizzly would otherwise notice only after the response that
 * the caller has closed the connection. Closes connections that are idle, or take to send a head, for longer than the
 * bounds allow.
 */
final class RequestReceiver extends BaseFilter implements AddOn {

    /** Bytes of later requests that are kept while one is being served; reading stops then. */
    private static final int MAX_PENDING_BYTES = 64 * 1024;

    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private enum Phase {
        /** The next request is arriving. */
        RECEIVING,
        /** A thread is passing a request to the codec. */
        PASSING,
        /** A request is being served. */
        SERVING,
        /** The connection is being closed. */
        CLOSED
    }

    /** The input of one connection; guarded by itself. */
    private final class Input {

        private final RequestAssembler assembler = new RequestAssembler(bounds);
        private final Deque<byte[]> pending = new ArrayDeque<>();
        /** Index of the first byte of the first pending array that has not been assembled. */
        private int pendingFrom;

        private int pendingBytes;
        private Phase phase = Phase.RECEIVING;
        private ReceivedRequest passed;
        private boolean handled;
        private boolean answeredWhilePassing;
        private boolean continueSent;
        private FilterChainContext heldRead;
        private FilterChainContext releasedRead;
        private volatile boolean receivingBody;
        private volatile long closeAtMillis = clock.nowMillis() + bounds.get().idleMillis();

        /** Assembles pending bytes; returns a request to pass on, if one is complete. */
        private Optional<ReceivedRequest> assemble() {
            long now = clock.nowMillis();
            while (!pending.isEmpty()
                    && !assembler.isComplete()
                    && assembler.fault().isEmpty()) {
                byte[] bytes = pending.peek();
                boolean wasStarted = assembler.isStarted();
                int end = assembler.accept(bytes, pendingFrom, now);
                pendingBytes -= end - pendingFrom;
                pendingFrom = end;
                if (end == bytes.length) {
                    pending.remove();
                    pendingFrom = 0;
                }
                if (!wasStarted && assembler.isStarted()) {
                    closeAtMillis = now + bounds.get().headMillis();
                }
            }
            boolean wasReceivingBody = receivingBody;
            receivingBody = assembler.isReceivingBody();
            if (receivingBody && !wasReceivingBody) {
                closeAtMillis = now + CallerLimits.RECEIVE_DEADLINE_MILLIS;
            }
            if (!assembler.isComplete()) {
                return Optional.empty();
            }
            closeAtMillis = Long.MAX_VALUE;
            phase = Phase.PASSING;
            handled = false;
            answeredWhilePassing = false;
            continueSent = false;
            passed = assembler.take();
            return Optional.of(passed);
        }

        /** Returns how far the request has come whose answer has not been handed over, if there is one. */
        private Optional<RequestStep> step() {
            if (phase == Phase.PASSING || phase == Phase.SERVING) {
                return Optional.of(RequestStep.IN_PROGRESS);
            }
            boolean isArriving = phase == Phase.RECEIVING && (receivingBody || !pending.isEmpty());
            return isArriving ? Optional.of(RequestStep.ARRIVING) : Optional.empty();
        }

        private void beginNext() {
            phase = Phase.RECEIVING;
            passed = null;
            closeAtMillis = clock.nowMillis() + bounds.get().idleMillis();
            releasedRead = heldRead;
            heldRead = null;
        }
    }

    private final Clock clock;
    private final Supplier<CallerBounds> bounds;
    private final Set<Connection<?>> openConnections = ConcurrentHashMap.newKeySet();
    private final Attribute<Input> inputs;

    RequestReceiver(Clock clock, Supplier<CallerBounds> bounds) {
        this.clock = clock;
        this.bounds = bounds;
        this.inputs = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
                "caller-connection-" + System.identityHashCode(this), Input::new);
    }

    @Override
    public void setup(NetworkListener listener, FilterChainBuilder builder) {
        // Index 0 is the transport filter; this one must see bytes before the HTTP codec does.
        builder.add(1, this);
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        openConnections.add(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        openConnections.remove(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Connection<?> connection = ctx.getConnection();
        Input input = inputs.get(connection);
        synchronized (input) {
            if (input.releasedRead == ctx) {
                input.releasedRead = null;
                return ctx.getStopAction();
            }
            Buffer buffer = ctx.getMessage();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            buffer.tryDispose();
            input.pending.add(bytes);
            input.pendingBytes += bytes.length;
            if (input.phase != Phase.RECEIVING && input.pendingBytes > MAX_PENDING_BYTES) {
                input.heldRead = ctx;
                ctx.suspend();
                return ctx.getSuspendAction();
            }
        }
        advance(connection, input);
        return ctx.getStopAction();
    }

    /** Passes requests on as they become complete, one after the other. */
    private void advance(Connection<?> connection, Input input) {
        try {
            Optional<ReceivedRequest> next = next(connection, input);
            while (next.isPresent()) {
                passToCodec(connection, next.get());
                next = leftCodec(input) ? next(connection, input) : Optional.empty();
            }
        } catch (RuntimeException | Error e) {
            Logger.error(e, "Receiving a request from {} failed.", connection.getPeerAddress());
            connection.closeSilently();
        }
    }

    private Optional<ReceivedRequest> next(Connection<?> connection, Input input) {
        Optional<ReceivedRequest> request;
        Optional<Refusal> fault;
        boolean sendsContinue;
        synchronized (input) {
            if (input.phase != Phase.RECEIVING) {
                return Optional.empty();
            }
            request = input.assemble();
            fault = input.assembler.fault();
            if (fault.isPresent()) {
                input.phase = Phase.CLOSED;
            }
            sendsContinue = input.assembler.awaitsContinue() && !input.continueSent;
            input.continueSent |= sendsContinue;
        }
        fault.ifPresent(refusal -> refuse(connection, refusal));
        if (sendsContinue) {
            contextFor(connection, 0).write(wrap(CONTINUE), null);
        }
        return request;
    }

    /** Called when the thread that passed a request has left the codec; returns whether the next one may follow. */
    private boolean leftCodec(Input input) {
        FilterChainContext released;
        boolean answered;
        synchronized (input) {
            answered = input.answeredWhilePassing;
            if (answered) {
                input.beginNext();
            } else if (input.phase == Phase.PASSING) {
                input.phase = Phase.SERVING;
                if (!input.handled) {
                    // The codec may have answered the request itself, which nothing else would tell.
                    input.closeAtMillis = clock.nowMillis() + CallerLimits.RECEIVE_DEADLINE_MILLIS;
                }
            }
            released = input.releasedRead;
        }
        if (answered && released != null) {
            released.resume();
        }
        return answered;
    }

    private void passToCodec(Connection<?> connection, ReceivedRequest request) {
        FilterChainContext ctx = contextFor(connection, 1);
        ctx.getInternalContext().setIoEvent(IOEvent.READ);
        ctx.setMessage(wrap(request.head()));
        ProcessorExecutor.execute(ctx.getInternalContext());
    }

    /** Returns a context of its own that begins a number of filters after this one. */
    private FilterChainContext contextFor(Connection<?> connection, int after) {
        FilterChain chain = (FilterChain) connection.getProcessor();
        int first = chain.indexOf(this) + after;
        return chain.obtainFilterChainContext(connection, first, chain.size(), first);
    }

    private static Buffer wrap(byte[] bytes) {
        return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
    }

    @SuppressWarnings("rawtypes")
    private void refuse(Connection<?> connection, Refusal refusal) {
        Logger.info("Refusing a request from {}: {}", connection.getPeerAddress(), refusal.message());
        byte[] body = RefusalWriter.body(refusal);
        HttpStatus status = HttpStatus.getHttpStatus(refusal.code().httpStatus());
        String head = "HTTP/1.1 " + status.getStatusCode() + " " + status.getReasonPhrase()
                + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        String answer = head + new String(body, StandardCharsets.UTF_8);
        contextFor(connection, 0)
                .write(wrap(answer.getBytes(StandardCharsets.UTF_8)), new EmptyCompletionHandler<WriteResult>() {
                    @Override
                    public void completed(WriteResult result) {
                        connection.closeSilently();
                    }

                    @Override
                    public void failed(Throwable failure) {
                        connection.closeSilently();
                    }
                });
    }

    /** Called when the codec has parsed the head; returns the request, which the caller of this method answers. */
    ReceivedRequest beginHandling(Connection<?> connection) {
        Input input = inputs.get(connection);
        synchronized (input) {
            input.handled = true;
            input.closeAtMillis = Long.MAX_VALUE;
            return input.passed;
        }
    }

    /** Called when Grizzly has finished with a request; receives what arrived in the meantime. */
    void onResponseComplete(Connection<?> connection) {
        Input input = inputs.get(connection);
        FilterChainContext released;
        boolean hasPending;
        synchronized (input) {
            if (input.phase == Phase.PASSING) {
                input.answeredWhilePassing = true;
                return;
            }
            if (input.phase != Phase.SERVING) {
                return;
            }
            input.beginNext();
            released = input.releasedRead;
            hasPending = !input.pending.isEmpty();
        }
        if (released != null) {
            released.resume();
        }
        if (hasPending) {
            Executor workers = connection.getTransport().getWorkerThreadPool();
            workers.execute(() -> advance(connection, input));
        }
    }

    /** Returns the requests that have begun to arrive and whose answers the operating system has not taken whole. */
    List<CallerServer.Unfinished> unfinished() {
        return openConnections.stream().flatMap(c -> unfinished(c).stream()).toList();
    }

    private Optional<CallerServer.Unfinished> unfinished(Connection<?> connection) {
        Input input = inputs.get(connection);
        int unwritten = ((NIOConnection) connection).getAsyncWriteQueue().spaceInBytes();
        synchronized (input) {
            String target = input.passed == null ? "" : input.passed.target();
            return input.step()
                    .or(() -> unwritten > 0 ? Optional.of(RequestStep.BEING_WRITTEN) : Optional.empty())
                    .map(step -> new CallerServer.Unfinished(
                            String.valueOf(connection.getPeerAddress()), target, step, unwritten));
        }
    }

    void expire(long nowMillis) {
        for (Connection<?> connection : openConnections) {
            Input input = inputs.get(connection);
            if (nowMillis >= input.closeAtMillis) {
                expire(connection, input);
            }
        }
    }

    private void expire(Connection<?> connection, Input input) {
        Refusal refusal;
        synchronized (input) {
            boolean isUnhandled = input.phase == Phase.SERVING && !input.handled;
            if (input.phase != Phase.RECEIVING && !isUnhandled) {
                return;
            }
            input.phase = Phase.CLOSED;
            if (!input.receivingBody) {
                Logger.debug(
                        "Closing the connection of {}: {}.",
                        connection.getPeerAddress(),
                        isUnhandled ? "its request was not handled" : "no complete request head arrived in time");
                connection.closeSilently();
                return;
            }
            input.receivingBody = false;
            refusal = input.assembler.refusal(
                    RefusalCode.BAD_REQUEST,
                    "The body was not complete within " + CallerLimits.RECEIVE_DEADLINE_MILLIS
                            + " ms; send it faster or in a smaller request.");
        }
        refuse(connection, refusal);
    }
}
