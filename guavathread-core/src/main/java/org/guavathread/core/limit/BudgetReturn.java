package org.guavathread.core.limit;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;

/**
 * Returns the unused part of a grant to its home host. Only the first return of a grant has an effect.
 *
 * @param workspace the workspace of the budget
 * @param grant the grant
 * @param tokens unused tokens
 */
public record BudgetReturn(WorkspaceId workspace, GrantId grant, long tokens) implements PeerMessage {}
