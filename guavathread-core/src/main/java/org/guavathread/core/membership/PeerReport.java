package org.guavathread.core.membership;

import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;

/**
 * What a host tells its peers about itself.
 *
 * @param incarnation its run
 * @param sheetVersion its sheet
 * @param draining whether it is shutting down and wants no new work
 * @param loadPermille how much of its request capacity is in use, in thousandths
 */
public record PeerReport(Incarnation incarnation, SheetVersion sheetVersion, boolean draining, int loadPermille) {}
