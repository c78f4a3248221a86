package org.guavathread.router.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

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
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.guavathread.core.time.Clock;
import org.tinylog.Logger;

/**
 * Goes on reading from a connection while its request is being served, because Grizzly otherwise learns only after the
 * answer that the caller has closed the connection. A further request that arrives early waits until the answer is
 * complete. Also closes connections that take too long to send their headers.
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
        private HeadScanner head = new HeadScanner();
        private volatile long headersDeadlineMillis = Long.MAX_VALUE;
    }

    private final Clock clock;
    private final Set<Connection<?>> open = ConcurrentHashMap.newKeySet();
    private final Attribute<State> states = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute(
            "caller-connection-" + System.identityHashCode(this), State::new);

    ConnectionGuard(Clock clock) {
        this.clock = clock;
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
        if (state.headersDeadlineMillis == Long.MAX_VALUE) {
            state.headersDeadlineMillis = clock.nowMillis() + CallerLimits.RECEIVE_DEADLINE_MILLIS;
        }
        Optional<String> fault = faultOf(ctx.getMessage(), state);
        if (fault.isPresent()) {
            refuse(ctx, fault.get());
            return ctx.getStopAction();
        }
        return ctx.getInvokeAction();
    }

    /** Scans what belongs to a head; bytes after it belong to a body, which the codec delimits. */
    private static Optional<String> faultOf(Buffer buffer, State state) {
        synchronized (state) {
            for (int i = buffer.position(); i < buffer.limit() && !state.head.isComplete(); i++) {
                Optional<String> fault = state.head.accept(buffer.get(i));
                if (fault.isPresent()) {
                    return fault;
                }
            }
            return Optional.empty();
        }
    }

    @SuppressWarnings("rawtypes")
    private static void refuse(FilterChainContext ctx, String fault) {
        Logger.info("Refusing a request of {}: {}", ctx.getConnection().getPeerAddress(), fault);
        String body = "{\"error\":{\"code\":\"BAD_REQUEST\",\"message\":\"" + fault + "\",\"run\":\"not_run\"}}";
        String answer = "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nConnection: close\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        Buffer bytes = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, answer.getBytes(StandardCharsets.US_ASCII));
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
        state.headersDeadlineMillis = Long.MAX_VALUE - 1;
        synchronized (state) {
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
            state.head = new HeadScanner();
        }
        state.headersDeadlineMillis = Long.MAX_VALUE;
        settle(state, Intake.SERVING);
    }

    void expire(long nowMillis) {
        for (Connection<?> connection : open) {
            if (nowMillis >= states.get(connection).headersDeadlineMillis) {
                Logger.info("Closing the connection of {}: its headers are not complete.", connection.getPeerAddress());
                connection.closeSilently();
            }
        }
    }
}
