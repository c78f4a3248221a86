package org.guavathread.core.orphan;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;

/**
 * A request in the list of an engine.
 *
 * @param request the request
 * @param host the host that sent it
 * @param incarnation the run of that host's process
 */
public record HeldRequest(RequestId request, HostId host, Incarnation incarnation) {}
