package org.guavathread.core.retry;

import java.util.LinkedHashSet;
import java.util.Set;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.RequestKind;

/**
 * Limits retries and resumes to a share of the requests, so that failures cannot multiply the load.
 *
 * <pre>{@code
 * budget.requestStarted();
 * if (budget.tryRetry(request, kind)) { ... }
 * }</pre>
 */
public final class RetryBudget {

    /** Each request earns a tenth of a retry; counted in tenths to stay exact. */
    private static final int TENTHS_PER_RETRY = 10;

    /** Lets a host with little traffic survive the loss of one engine's few requests. */
    private static final int START_RETRIES = 3;

    /** About the requests of two full decode engines; a longer quiet time earns no larger burst. */
    private static final int MAX_RETRIES = 40;

    /** A retried request that is forgotten early could be retried again, so the bound exceeds what a host can run. */
    private static final int MAX_REMEMBERED = 20_000;

    private final Set<RequestId> retried = new LinkedHashSet<>();
    private int tenths = START_RETRIES * TENTHS_PER_RETRY;

    /** Counts a request that a caller sent. */
    public void requestStarted() {
        tenths = Math.min(MAX_RETRIES * TENTHS_PER_RETRY, tenths + 1);
    }

    /**
     * Takes a retry from the budget, if the kind may be repeated, the request had no retry, and the budget has one.
     *
     * @param request the request
     * @param kind its kind
     * @return true if the request may be sent to a backend server once more
     */
    public boolean tryRetry(RequestId request, RequestKind kind) {
        if (!kind.isRepeatable() || tenths < TENTHS_PER_RETRY || retried.size() >= MAX_REMEMBERED) {
            return false;
        }
        if (!retried.add(request)) {
            return false;
        }
        tenths -= TENTHS_PER_RETRY;
        return true;
    }

    /**
     * Forgets a request that was answered.
     *
     * @param request the request
     */
    public void requestEnded(RequestId request) {
        retried.remove(request);
    }

    /**
     * Tells how many retries are left.
     *
     * @return whole retries
     */
    public int available() {
        return tenths / TENTHS_PER_RETRY;
    }
}
