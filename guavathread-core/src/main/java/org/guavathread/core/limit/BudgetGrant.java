package org.guavathread.core.limit;

import org.guavathread.core.message.PeerMessage;

/**
 * Answers a {@link BudgetTake}.
 *
 * @param take the take that this answers
 * @param grant identifies the grant, for example when it is returned
 * @param tokens granted tokens; 0 if the home host has none left or is not allowed to grant
 * @param levelTokens tokens left in the bucket of the home host; a hint for the next take
 * @param validForMillis how long after sending the take the requester may admit with this grant; set by the home host,
 *     because it withholds capacity for this time, and the requester may have an older sheet
 */
public record BudgetGrant(TakeId take, GrantId grant, long tokens, long levelTokens, long validForMillis)
        implements PeerMessage {}
