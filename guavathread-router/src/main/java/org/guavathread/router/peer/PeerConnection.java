package org.guavathread.router.peer;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.glassfish.grizzly.Connection;
import org.guavathread.core.id.HostId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.wire.Frame;

/** One open connection and the requests that wait for their answers on it. */
final class PeerConnection {

    /** A connection that owes an answer and delivered nothing for this long is taken for broken. */
    static final long SILENCE_LIMIT_MILLIS = 3_000;

    private record Pending(CompletableFuture<PeerMessage> answer, long sentAtMillis, long deadlineMillis) {}

    private final Connection<?> connection;
    private final HostId peer;
    private final AtomicLong nextCorrelation = new AtomicLong(1);
    private final Map<Long, Pending> pendingByCorrelation = new ConcurrentHashMap<>();
    private volatile long lastReceivedAtMillis;

    PeerConnection(Connection<?> connection, HostId peer, long nowMillis) {
        this.connection = connection;
        this.peer = peer;
        this.lastReceivedAtMillis = nowMillis;
    }

    HostId peer() {
        return peer;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    void send(PeerMessage message) {
        connection.write(new Frame(0, false, message));
    }

    CompletableFuture<PeerMessage> ask(PeerMessage message, long nowMillis, long deadlineMillis) {
        long correlation = nextCorrelation.getAndIncrement();
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        pendingByCorrelation.put(correlation, new Pending(answer, nowMillis, deadlineMillis));
        connection.write(new Frame(correlation, false, message));
        if (!connection.isOpen()) {
            failAll("the connection was closed");
        }
        return answer;
    }

    void received(long nowMillis) {
        lastReceivedAtMillis = nowMillis;
    }

    void complete(long correlation, PeerMessage answer) {
        Pending pending = pendingByCorrelation.remove(correlation);
        if (pending != null) {
            pending.answer().complete(answer);
        }
    }

    /** Fails what is past its deadline; closes the connection if it owes an answer and has been silent for too long. */
    void expire(long nowMillis) {
        boolean silent = false;
        for (Map.Entry<Long, Pending> entry : pendingByCorrelation.entrySet()) {
            Pending pending = entry.getValue();
            silent |= nowMillis - Math.max(lastReceivedAtMillis, pending.sentAtMillis()) >= SILENCE_LIMIT_MILLIS;
            if (nowMillis >= pending.deadlineMillis() && pendingByCorrelation.remove(entry.getKey(), pending)) {
                pending.answer()
                        .completeExceptionally(new PeerException("wait for an answer", peer, "its deadline passed"));
            }
        }
        if (silent) {
            close("nothing arrived for " + SILENCE_LIMIT_MILLIS + " ms while an answer was due");
        }
    }

    void close(String reason) {
        connection.closeSilently();
        failAll(reason);
    }

    void failAll(String reason) {
        for (Long correlation : pendingByCorrelation.keySet()) {
            Pending pending = pendingByCorrelation.remove(correlation);
            if (pending != null) {
                pending.answer().completeExceptionally(new PeerException("wait for an answer", peer, reason));
            }
        }
    }
}
