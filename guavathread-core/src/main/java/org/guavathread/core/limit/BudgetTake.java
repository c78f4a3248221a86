package org.guavathread.core.limit;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;

/**
 * Requests budget from a home host.
 *
 * @param ask identifies this take in the reply
 * @param workspace the workspace of the budget
 * @param tokens the most tokens to grant
 */
public record BudgetTake(AskId ask, WorkspaceId workspace, long tokens) implements PeerMessage {}
