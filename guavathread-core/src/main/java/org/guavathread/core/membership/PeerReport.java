package org.guavathread.core.membership;

import java.util.Optional;

import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;

/**
 * What a host tells its peers about itself.
 *
 * @param incarnation its run
 * @param sheetVersion its sheet
 * @param draining whether it is shutting down and wants no new work
 * @param loadPermille how much of its request capacity is in use, in thousandths
 * @param serviceContact the most recent read of the configuration service that it knows of
 */
public record PeerReport(
        Incarnation incarnation,
        SheetVersion sheetVersion,
        boolean draining,
        int loadPermille,
        Optional<ServiceContact> serviceContact) {}
