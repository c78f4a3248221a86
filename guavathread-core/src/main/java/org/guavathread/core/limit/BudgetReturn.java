package org.guavathread.core.limit;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;

/**
 * Gives back what was not used of a grant. Only the first return of a grant counts.
 *
 * @param workspace whose budget it is
 * @param grant the grant
 * @param tokens how much was not used
 */
public record BudgetReturn(WorkspaceId workspace, GrantId grant, long tokens) implements PeerMessage {}
