package org.guavathread.core.membership;

import java.util.Optional;

import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;

/**
 * The state that a host reports to its peers.
 *
 * @param incarnation the incarnation of its process
 * @param sheetVersion the version of its sheet in force
 * @param draining whether it is shutting down and must get no new work
 * @param loadPermille how much of its request capacity is in use, in thousandths
 * @param serviceContact the most recent read of the configuration service that it knows of
 */
public record PeerReport(
        Incarnation incarnation,
        SheetVersion sheetVersion,
        boolean draining,
        int loadPermille,
        Optional<ServiceContact> serviceContact) {}
