package org.guavathread.core.limit;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;

/**
 * A request that must acquire budget before it may run.
 *
 * @param id the request; unique among the requests that acquire or use budget
 * @param workspace the workspace that is charged
 * @param tokens the charge: prompt tokens plus output limit, or the cost of the route
 * @param kind the request kind; only deferrable requests may wait until their deadline
 * @param deadlineMillis the latest time at which the request may be admitted
 */
public record BudgetRequest(RequestId id, WorkspaceId workspace, long tokens, RequestKind kind, long deadlineMillis) {}
