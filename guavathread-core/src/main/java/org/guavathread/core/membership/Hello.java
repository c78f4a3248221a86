package org.guavathread.core.membership;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * First message on a connection between hosts.
 *
 * @param host the sender
 * @param incarnation its run
 * @param dataCentre where it stands
 * @param sheetVersion its sheet
 */
public record Hello(HostId host, Incarnation incarnation, DataCentreId dataCentre, SheetVersion sheetVersion)
        implements PeerMessage {}
