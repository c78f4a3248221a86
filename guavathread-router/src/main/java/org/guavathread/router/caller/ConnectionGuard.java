package org.guavathread.router.caller;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.server.AddOn;
import org.glassfish.grizzly.http.server.NetworkListener;
import org.guavathread.core.time.Clock;
import org.tinylog.Logger;

/**
 * Goes on reading from a connection while its request is being served, because Grizzly otherwise learns only after the
 * answer that the caller has closed the connection. A further request that arrives early waits until the answer is
 * complete. Also closes connections that take too long to send their headers.
 */
final class ConnectionGuard extends BaseFilter implements AddOn {

    private static final class State {
        private boolean serving;
        private FilterChainContext early;
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
            if (state.serving) {
                state.early = ctx;
                ctx.suspend();
                return ctx.getSuspendAction();
            }
        }
        if (state.headersDeadlineMillis == Long.MAX_VALUE) {
            state.headersDeadlineMillis = clock.nowMillis() + CallerLimits.RECEIVE_DEADLINE_MILLIS;
        }
        return ctx.getInvokeAction();
    }

    /** Notes that the headers of a request are complete; its body has a deadline of its own. */
    void headersReceived(Connection<?> connection) {
        states.get(connection).headersDeadlineMillis = Long.MAX_VALUE - 1;
    }

    /** Notes that a request is complete, and watches for the end of the connection from now on. */
    void serving(Connection<?> connection) {
        State state = states.get(connection);
        synchronized (state) {
            state.serving = true;
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
        FilterChainContext early;
        synchronized (state) {
            state.serving = false;
            early = state.early;
            state.early = null;
        }
        state.headersDeadlineMillis = Long.MAX_VALUE;
        if (early != null) {
            early.resume();
        }
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
