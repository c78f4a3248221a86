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
 * @param incarnation the incarnation of its process
 * @param dataCentre its data centre
 * @param sheetVersion the version of its sheet in force
 */
public record Hello(HostId host, Incarnation incarnation, DataCentreId dataCentre, SheetVersion sheetVersion)
        implements PeerMessage {}
