package org.guavathread.core.membership;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.message.PeerMessage;

/**
 * First message on a connection between hosts: says who opened it.
 *
 * @param host the host that opened the connection
 * @param incarnation the run of its process
 * @param dataCentre where it stands
 * @param sheetVersion the version in force there
 */
public record Hello(HostId host, Incarnation incarnation, DataCentreId dataCentre, SheetVersion sheetVersion)
        implements PeerMessage {}
