package org.guavathread.core.limit;

/**
 * Identifies one grant of a home host. A return that names a grant of an earlier memory is ignored, because the budget
 * of that memory no longer exists.
 *
 * @param memoryId identifies the memory of the home host; a restarted host has another one
 * @param number counts the grants of that memory
 */
public record GrantId(long memoryId, long number) {}
