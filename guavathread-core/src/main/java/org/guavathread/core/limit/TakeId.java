package org.guavathread.core.limit;

import org.guavathread.core.id.HostId;

/**
 * Identifies a {@link BudgetTake}, so that its reply can be matched to it.
 *
 * @param host the host that sent the take
 * @param instanceId identifies the instance of the budget state of that host; a restart creates a new one
 * @param number counts the takes of that instance
 */
public record TakeId(HostId host, long instanceId, long number) {}
