package org.guavathread.router.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.glassfish.grizzly.Connection;
import org.guavathread.core.id.HostId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.wire.Frame;

/** One open connection and its pending requests. */
final class PeerConnection {

    /** A connection with a pending request on which nothing arrives for this long is treated as broken. */
    static final long INACTIVITY_LIMIT_MILLIS = 3_000;

    private static final long NO_REPLY_DUE = Long.MAX_VALUE;

    private record PendingRequest(CompletableFuture<PeerMessage> reply, long deadlineMillis) {}

    private final Connection<?> connection;
    private final HostId peer;
    private final AtomicLong nextCorrelation = new AtomicLong(1);
    private final Map<Long, PendingRequest> pendingByCorrelation = new ConcurrentHashMap<>();
    private final SocketAddressText address;
    private volatile boolean closing;
    private volatile long unansweredSinceMillis = NO_REPLY_DUE;

    PeerConnection(Connection<?> connection, HostId peer, SocketAddressText address) {
        this.connection = connection;
        this.peer = peer;
        this.address = address;
    }

    HostId peer() {
        return peer;
    }

    /** Tells whether the connection goes to the given address; a new sheet may give the host another one. */
    boolean hasAddress(SocketAddressText wanted) {
        return address.equals(wanted);
    }

    boolean isOpen() {
        return !closing && connection.isOpen();
    }

    void send(PeerMessage message) {
        connection.write(new Frame(0, false, message));
    }

    CompletableFuture<PeerMessage> ask(PeerMessage message, long nowMillis, long deadlineMillis) {
        long correlation = nextCorrelation.getAndIncrement();
        CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
        pendingByCorrelation.put(correlation, new PendingRequest(reply, deadlineMillis));
        if (unansweredSinceMillis == NO_REPLY_DUE) {
            unansweredSinceMillis = nowMillis;
        }
        connection.write(new Frame(correlation, false, message));
        if (!connection.isOpen()) {
            failAll("the connection was closed");
        }
        return reply;
    }

    void onReceived() {
        unansweredSinceMillis = NO_REPLY_DUE;
    }

    void complete(long correlation, PeerMessage reply) {
        PendingRequest pending = pendingByCorrelation.remove(correlation);
        if (pending != null) {
            pending.reply().complete(reply);
        }
    }

    /** Fails requests past their deadline; closes the connection if a reply is due and nothing arrived for too long. */
    void expire(long nowMillis) {
        for (Map.Entry<Long, PendingRequest> entry : pendingByCorrelation.entrySet()) {
            PendingRequest pending = entry.getValue();
            if (nowMillis >= pending.deadlineMillis() && pendingByCorrelation.remove(entry.getKey(), pending)) {
                pending.reply()
                        .completeExceptionally(new PeerException("wait for an answer", peer, "its deadline passed"));
            }
        }
        // Requests have shorter deadlines than this limit, so requests that have expired count as well.
        if (nowMillis - INACTIVITY_LIMIT_MILLIS >= unansweredSinceMillis) {
            close("nothing arrived for " + INACTIVITY_LIMIT_MILLIS + " ms while a reply was due");
        }
    }

    void close(String reason) {
        // A caller may retry as soon as its request fails, and must then get another connection.
        closing = true;
        // Fails the requests before the close handler does so with a less specific reason.
        failAll(reason);
        connection.closeSilently();
    }

    void failAll(String reason) {
        for (Long correlation : pendingByCorrelation.keySet()) {
            PendingRequest pending = pendingByCorrelation.remove(correlation);
            if (pending != null) {
                pending.reply().completeExceptionally(new PeerException("wait for an answer", peer, reason));
            }
        }
    }
}
