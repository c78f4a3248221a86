package org.guavathread.core.placement;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.message.PeerMessage;

/**
 * Tells the owner of a cell that a prefill engine finished a request's prefill.
 *
 * @param request the request
 * @param cachedTokens prompt tokens that the engine found in its prefix cache
 * @param serviceMillis computation time of the engine without queueing, in milliseconds
 */
public record PlacePrefillDone(RequestId request, int cachedTokens, int serviceMillis) implements PeerMessage {}
