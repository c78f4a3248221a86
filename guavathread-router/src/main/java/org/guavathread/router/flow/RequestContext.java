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

/** One accepted request on its way through the steps. */
final class RequestContext {

    private static final WorkspaceId OPEN = new WorkspaceId("(open)");

    private final CallerExchange exchange;
    private final Route route;
    private final Optional<KeyRing.Owner> owner;
    private final ActiveRequests active;
    private volatile boolean dispatched;
    private boolean refused;
    private volatile Runnable afterEnd = () -> {};

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

    /** Gives the workspace that pays; requests of open routes share one name and are not charged. */
    WorkspaceId workspace() {
        return owner.map(KeyRing.Owner::workspace).orElse(OPEN);
    }

    boolean isCharged() {
        return owner.isPresent();
    }

    Optional<KeyRing.Owner> owner() {
        return owner;
    }

    /** Gives the idempotency key, which counts only where a call may not be repeated. */
    Optional<String> idempotencyKey() {
        return route.kind() == RequestKind.NON_REPEATABLE
                ? exchange.header("Idempotency-Key").filter(k -> !k.isBlank())
                : Optional.empty();
    }

    long firstByteDeadlineMillis() {
        return exchange.arrivedAtMillis() + route.timeoutMillis();
    }

    /** Notes that the request is about to be sent; false if it was refused, so that it must not be sent any more. */
    synchronized boolean beginDispatch() {
        if (refused) {
            return false;
        }
        dispatched = true;
        return true;
    }

    /** Takes back {@link #beginDispatch} for a request of which nothing was sent. */
    synchronized void nothingSent() {
        dispatched = false;
    }

    /** Notes that a backend server may have begun to work on the request. */
    void markDispatched() {
        dispatched = true;
    }

    boolean isDispatched() {
        return dispatched;
    }

    /** Sets what runs once when the request has ended. */
    void onEnd(Runnable action) {
        afterEnd = action;
    }

    void ended() {
        afterEnd.run();
    }

    void trace(String step) {
        active.traces().add(id(), step);
    }

    /**
     * Ends the request with a refusal. A {@code not_run} of a request that was dispatched, or that has an idempotency
     * key whose earlier sends may have run, becomes {@code unknown} unless the claim proved it.
     */
    void refuse(Refusal refusal) {
        boolean proven;
        synchronized (this) {
            proven = !dispatched && idempotencyKey().isEmpty();
            refused = true;
        }
        refuseAsStated(
                proven
                        ? refusal
                        : Refusal.unknown(refusal.code(), refusal.message()).retryAfter(refusal.retryAfterMillis()));
    }

    /** Ends the request with a refusal whose run state was proven elsewhere. */
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

    /** Ends the request without an answer, because its caller is gone or its stream was cut. */
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
