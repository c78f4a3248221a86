package org.guavathread.router.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.glassfish.grizzly.http.util.HttpStatus;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.routing.CallerBounds;
import org.guavathread.core.time.Clock;
import org.tinylog.Logger;

/**
 * Goes on reading from a connection while its request is being served, because Grizzly otherwise learns only after the
 * answer that the caller has closed the connection. A further request that arrives early waits until the answer is
 * complete. Also closes connections that stay unused, or take to send a head, longer than their bounds allow.
 */
final class ConnectionGuard extends BaseFilter implements AddOn {

    /** Where a connection is between two requests; decides whether bytes may go on to the codec. */
    private enum Intake {
        /** The codec may take bytes of a head or body. */
        OPEN,
        /** Bytes are with the codec on another thread; later ones must not overtake them. */
        PASSING,
        /** A request is complete and has no whole answer yet. */
        SERVING
    }

    private static final class State {
        private Intake intake = Intake.OPEN;
        private FilterChainContext passing;
        private final Deque<FilterChainContext> held = new ArrayDeque<>();
        private HeadScanner head;
        private boolean headBegun;
        private volatile long closeAtMillis;

        private State(CallerBounds bounds, long nowMillis) {
            idle(bounds, nowMillis);
        }

        /** Prepares for the next request. */
        private void idle(CallerBounds bounds, long nowMillis) {
            head = new HeadScanner(bounds.maxHeadBytes());
            headBegun = false;
            closeAtMillis = nowMillis + bounds.idleMillis();
        }
    }

    private final Clock clock;
    private final Set<Connection<?>> open = ConcurrentHashMap.newKeySet();
    private final Supplier<CallerBounds> bounds;
    private final Attribute<State> states;

    ConnectionGuard(Clock clock, Supplier<CallerBounds> bounds) {
        this.clock = clock;
        this.bounds = bounds;
        this.states = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
                "caller-connection-" + System.identityHashCode(this), () -> new State(bounds.get(), clock.nowMillis()));
    }

    @Override
    public void setup(NetworkListener listener, FilterChainBuilder builder) {
        // Index 0 is the transport filter; the guard must see bytes before the HTTP codec does.
        builder.add(1, this);
    }

    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
        open.add(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
        open.remove(ctx.getConnection());
        return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        State state = states.get(ctx.getConnection());
        synchronized (state) {
            boolean isNext = state.passing == ctx;
            if (!isNext && (state.intake != Intake.OPEN || !state.held.isEmpty())) {
                state.held.add(ctx);
                ctx.suspend();
                return ctx.getSuspendAction();
            }
            state.intake = Intake.PASSING;
            state.passing = ctx;
        }
        ctx.addCompletionListener(context -> passed(state, context));
        beginHead(state);
        Optional<Refusal> fault = faultOf(ctx.getMessage(), state);
        if (fault.isPresent()) {
            refuse(ctx, fault.get());
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }

    private void beginHead(State state) {
        synchronized (state) {
            if (!state.headBegun) {
                state.headBegun = true;
                state.closeAtMillis = clock.nowMillis() + bounds.get().headMillis();
            }
        }
    }

    /** Scans what belongs to a head; bytes after it belong to a body, which the codec delimits. */
    private static Optional<Refusal> faultOf(Buffer buffer, State state) {
        synchronized (state) {
            for (int i = buffer.position(); i < buffer.limit() && !state.head.isComplete(); i++) {
                Optional<Refusal> fault = state.head.accept(buffer.get(i));
                if (fault.isPresent()) {
                    return fault;
                }
            }
            return Optional.empty();
        }
    }

    @SuppressWarnings("rawtypes")
    private static void refuse(FilterChainContext ctx, Refusal refusal) {
        Logger.info("Refusing a request of {}: {}", ctx.getConnection().getPeerAddress(), refusal.message());
        byte[] body = RefusalWriter.body(refusal);
        HttpStatus status = HttpStatus.getHttpStatus(refusal.code().httpStatus());
        String head = "HTTP/1.1 " + status.getStatusCode() + " " + status.getReasonPhrase()
                + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        String answer = head + new String(body, StandardCharsets.UTF_8);
        Buffer bytes = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, answer.getBytes(StandardCharsets.UTF_8));
        ctx.write(bytes, new EmptyCompletionHandler<WriteResult>() {
            @Override
            public void completed(WriteResult result) {
                ctx.getConnection().closeSilently();
            }

            @Override
            public void failed(Throwable failure) {
                ctx.getConnection().closeSilently();
            }
        });
    }

    /** Notes that the headers of a request are complete; its body has a deadline of its own. */
    void headersReceived(Connection<?> connection) {
        State state = states.get(connection);
        synchronized (state) {
            state.headBegun = true;
            state.closeAtMillis = Long.MAX_VALUE;
            if (!state.head.isComplete()) {
                // The head came in one read with the end of the request before, of which only the codec knows.
                state.head = HeadScanner.afterHead();
            }
        }
    }

    /** Notes that the codec has taken all bytes that it was given, and that more of a body may follow. */
    void bodyAwaited(Connection<?> connection) {
        State state = states.get(connection);
        settle(state, Intake.PASSING);
    }

    /** Notes that the codec is done with some bytes, which may have been no whole head or no part of a body. */
    private void passed(State state, FilterChainContext ctx) {
        synchronized (state) {
            if (state.passing != ctx) {
                return;
            }
        }
        settle(state, Intake.PASSING);
    }

    /** Opens the intake if it is in a given state, and passes on the bytes that were held back first. */
    private static void settle(State state, Intake from) {
        FilterChainContext next;
        synchronized (state) {
            if (state.intake != from) {
                return;
            }
            next = state.held.poll();
            state.intake = next == null ? Intake.OPEN : Intake.PASSING;
            state.passing = next;
        }
        if (next != null) {
            next.resume();
        }
    }

    /** Notes that a request is complete, and watches for the end of the connection from now on. */
    void serving(Connection<?> connection) {
        State state = states.get(connection);
        synchronized (state) {
            state.intake = Intake.SERVING;
            state.passing = null;
        }
        try {
            connection.enableIOEvent(IOEvent.READ);
        } catch (IOException e) {
            connection.closeSilently();
        }
    }

    /** Notes that Grizzly has finished with a request, and passes on what arrived in the meantime. */
    void served(Connection<?> connection) {
        State state = states.get(connection);
        synchronized (state) {
            state.idle(bounds.get(), clock.nowMillis());
        }
        settle(state, Intake.SERVING);
    }

    void expire(long nowMillis) {
        for (Connection<?> connection : open) {
            if (nowMillis >= states.get(connection).closeAtMillis) {
                Logger.debug("Closing the connection of {}: no whole head came.", connection.getPeerAddress());
                connection.closeSilently();
            }
        }
    }
}
