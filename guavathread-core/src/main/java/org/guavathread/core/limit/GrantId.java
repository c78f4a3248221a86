package org.guavathread.core.limit;

/**
 * Identifies a grant of a home host. The return of a grant from an earlier instance of the budget state is ignored,
 * because the budget of that instance no longer exists.
 *
 * @param instanceId identifies the instance of the budget state of the home host; a restart creates a new one
 * @param number counts the grants of that instance
 */
public record GrantId(long instanceId, long number) {}
