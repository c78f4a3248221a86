package org.guavathread.router.backend;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;

/**
 * The host that sent an engine request, with its incarnation.
 *
 * @param host the host
 * @param incarnation the incarnation of its process
 */
public record Owner(HostId host, Incarnation incarnation) {}
