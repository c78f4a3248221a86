package org.guavathread.core.retry;

import java.util.LinkedHashSet;
import java.util.Set;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.RequestKind;

/**
 * Token bucket that limits retries and resumes to a share of the requests, so that failures cannot multiply the load.
 *
 * <pre>{@code
 * budget.requestStarted();
 * if (budget.tryRetry(request, kind)) { ... }
 * }</pre>
 */
public final class RetryBudget {

    /** Each request adds a tenth of a retry; the budget is counted in tenths to stay exact. */
    private static final int TENTHS_PER_RETRY = 10;

    /** Initial budget: lets a host with little traffic retry the few requests of one failed engine. */
    private static final int INITIAL_RETRIES = 3;

    /** Maximum budget: about the requests of two full decode engines, however long the host was idle. */
    private static final int MAX_RETRIES = 40;

    /** Exceeds what a host can run, because a retried request that is forgotten early could be retried again. */
    private static final int MAX_REMEMBERED_REQUESTS = 20_000;

    private final Set<RequestId> retried = new LinkedHashSet<>();
    private int tenths = INITIAL_RETRIES * TENTHS_PER_RETRY;

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
        if (!kind.isRepeatable() || tenths < TENTHS_PER_RETRY || retried.size() >= MAX_REMEMBERED_REQUESTS) {
            return false;
        }
        if (!retried.add(request)) {
            return false;
        }
        tenths -= TENTHS_PER_RETRY;
        return true;
    }

    /**
     * Removes a request that has ended.
     *
     * @param request the request
     */
    public void requestEnded(RequestId request) {
        retried.remove(request);
    }

    /**
     * Returns the remaining budget.
     *
     * @return remaining retries, rounded down
     */
    public int available() {
        return tenths / TENTHS_PER_RETRY;
    }
}
