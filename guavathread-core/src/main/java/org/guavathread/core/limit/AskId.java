package org.guavathread.core.limit;

import org.guavathread.core.id.HostId;

/**
 * Identifies one request for budget, so that a reply can be matched to it.
 *
 * @param host the host that asked
 * @param memoryId identifies the memory of that host; a restarted host has another one
 * @param number counts the asks of that memory
 */
public record AskId(HostId host, long memoryId, long number) {}
