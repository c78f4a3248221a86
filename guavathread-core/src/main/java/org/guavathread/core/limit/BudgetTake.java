package org.guavathread.core.limit;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;

/**
 * Asks a home host for budget.
 *
 * @param ask identifies this ask in the reply
 * @param workspace whose budget to take
 * @param tokens how much to grant at most
 */
public record BudgetTake(AskId ask, WorkspaceId workspace, long tokens) implements PeerMessage {}
