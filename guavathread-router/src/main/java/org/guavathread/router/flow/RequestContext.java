package org.guavathread.router.flow;

import java.util.Map;
import java.util.Optional;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.Route;
import org.guavathread.router.caller.CallerExchange;

/** State of one request while it is processed. */
final class RequestContext {

    private static final WorkspaceId OPEN = new WorkspaceId("(open)");

    private final CallerExchange exchange;
    private final Route route;
    private final Optional<KeyRing.Owner> owner;
    private final ActiveRequests active;
    private volatile boolean dispatched;
    private boolean refused;
    private volatile Runnable endAction = () -> {};

    RequestContext(CallerExchange exchange, Route route, Optional<KeyRing.Owner> owner, ActiveRequests active) {
        this.exchange = exchange;
        this.route = route;
        this.owner = owner;
        this.active = active;
    }

    CallerExchange exchange() {
        return exchange;
    }

    RequestId id() {
        return exchange.id();
    }

    Route route() {
        return route;
    }

    RequestKind kind() {
        return route.kind();
    }

    /** Gives the workspace that is charged; requests of open routes share one placeholder and are not charged. */
    WorkspaceId workspace() {
        return owner.map(KeyRing.Owner::workspace).orElse(OPEN);
    }

    boolean isCharged() {
        return owner.isPresent();
    }

    Optional<KeyRing.Owner> owner() {
        return owner;
    }

    /** Gives the idempotency key; the header is ignored on routes whose calls may be repeated. */
    Optional<String> idempotencyKey() {
        return route.kind() == RequestKind.NON_REPEATABLE
                ? exchange.header("Idempotency-Key").filter(k -> !k.isBlank())
                : Optional.empty();
    }

    long firstByteDeadlineMillis() {
        return exchange.arrivedAtMillis() + route.timeoutMillis();
    }

    /** Records that the request is about to be sent; returns false if it was refused and must not be sent. */
    synchronized boolean beginDispatch() {
        if (refused) {
            return false;
        }
        dispatched = true;
        return true;
    }

    /** Reverts {@link #beginDispatch} for a request of which nothing was sent. */
    synchronized void revertDispatch() {
        dispatched = false;
    }

    /** Records that a backend server may have begun to run the request. */
    void markDispatched() {
        dispatched = true;
    }

    boolean isDispatched() {
        return dispatched;
    }

    /** Sets the action to run once when the request has ended. */
    void onEnd(Runnable action) {
        endAction = action;
    }

    void ended() {
        endAction.run();
    }

    void trace(String step) {
        active.traces().add(id(), step);
    }

    /**
     * Ends the request with a refusal. Its run state becomes {@code unknown} if the request was dispatched, or if it has an
     * idempotency key, because an earlier attempt with that key may have run.
     */
    void refuse(Refusal refusal) {
        boolean provenNotRun;
        synchronized (this) {
            provenNotRun = !dispatched && idempotencyKey().isEmpty();
            refused = true;
        }
        refuseAsStated(
                provenNotRun
                        ? refusal
                        : Refusal.unknown(refusal.code(), refusal.message()).retryAfter(refusal.retryAfterMillis()));
    }

    /** Ends the request with a refusal whose run state is known to be correct. */
    void refuseAsStated(Refusal refusal) {
        trace("refused " + refusal.code() + " " + refusal.run().wireName());
        active.refused(this, refusal);
        exchange.refuse(refusal);
    }

    void answer(int status, Map<String, String> headers, byte[] body) {
        trace("answered " + status);
        active.answered(this);
        exchange.answer(status, headers, body);
    }

    /** Ends the request without an answer, because its caller has disconnected or its stream was cut. */
    void drop(String reason) {
        trace(reason);
        active.dropped(this);
    }

    /** Ends the request after its stream was completed. */
    void streamed() {
        trace("streamed");
        active.answered(this);
    }

    Refusal deadlinePassed() {
        return Refusal.notRun(
                RefusalCode.DEADLINE,
                "The request was not served within " + route.timeoutMillis()
                        + " ms; send it again if that still helps.");
    }
}
