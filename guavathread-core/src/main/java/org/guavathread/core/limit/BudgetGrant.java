package org.guavathread.core.limit;

import org.guavathread.core.message.PeerMessage;

/**
 * Answers a {@link BudgetTake}.
 *
 * @param ask the ask that this answers
 * @param grant identifies the grant in a later return
 * @param tokens how much is granted; 0 if the home host has nothing or may not act
 * @param levelTokens what is left at the home host; a hint for the next ask
 * @param validForMillis how long after it asked the requester may admit with this grant; the home host decides it,
 *     because it holds back as much capacity, and the requester may know an older sheet
 */
public record BudgetGrant(AskId ask, GrantId grant, long tokens, long levelTokens, long validForMillis)
        implements PeerMessage {}
