package org.guavathread.core.limit;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;

/**
 * Requests budget from a home host.
 *
 * @param id identifies this take in the reply
 * @param workspace the workspace of the budget
 * @param tokens the most tokens to grant
 */
public record BudgetTake(TakeId id, WorkspaceId workspace, long tokens) implements PeerMessage {}
