package org.guavathread.core.orphan;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;

/**
 * A request that an engine lists as queued or running.
 *
 * @param request the request
 * @param host the host that sent it
 * @param incarnation the incarnation of that host which sent it
 */
public record ListedRequest(RequestId request, HostId host, Incarnation incarnation) {}
