package org.guavathread.core.routing;

/**
 * Limits on the size and timing of callers' requests.
 *
 * @param maxHeadBytes maximum size of request line and headers
 * @param maxBodyBytes maximum size of a body
 * @param headMillis timeout for receiving request line and headers, in milliseconds
 * @param idleMillis idle timeout of a connection, in milliseconds
 */
public record CallerBounds(int maxHeadBytes, int maxBodyBytes, long headMillis, long idleMillis) {}
