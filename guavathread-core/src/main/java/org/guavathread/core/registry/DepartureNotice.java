package org.guavathread.core.registry;

import java.util.List;

import org.guavathread.core.message.PeerMessage;

/**
 * Tells other hosts which servers have lately stated in answers that they leave. Hosts of earlier builds ignore it.
 *
 * @param departures the departures
 */
public record DepartureNotice(List<DepartedServers.Departure> departures) implements PeerMessage {

    /** Copies the list. */
    public DepartureNotice {
        departures = List.copyOf(departures);
    }
}
