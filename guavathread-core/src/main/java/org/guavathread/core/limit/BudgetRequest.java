package org.guavathread.core.limit;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;

/**
 * A request that needs budget before it may run.
 *
 * @param id the request; not used by another request whose budget is being gathered or used
 * @param workspace the workspace that pays
 * @param tokens the charge: prompt tokens plus output limit, or the cost of the route
 * @param kind only deferrable requests wait until their deadline
 * @param deadlineMillis when the request must be admitted at the latest
 */
public record BudgetRequest(RequestId id, WorkspaceId workspace, long tokens, RequestKind kind, long deadlineMillis) {}
