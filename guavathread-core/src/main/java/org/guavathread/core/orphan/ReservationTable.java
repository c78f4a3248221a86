package org.guavathread.core.orphan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.placement.CellId;
import org.guavathread.core.placement.Grant;
import org.guavathread.core.placement.PlaceRenew;
import org.guavathread.core.placement.PlaceRequest;

/** The reservations held by the requests of one host, used for renewals and for the orphan sweep. */
public final class ReservationTable {

    private static final class Entry {
        private final PlaceRequest request;
        private final Grant grant;
        private int outputTokens;
        private boolean prefillEnded;

        private Entry(PlaceRequest request, Grant grant) {
            this.request = request;
            this.grant = grant;
        }
    }

    private final HostId host;
    private final Incarnation incarnation;
    private final Map<RequestId, Entry> entries = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param host this host
     * @param incarnation its current incarnation
     */
    public ReservationTable(HostId host, Incarnation incarnation) {
        this.host = host;
        this.incarnation = incarnation;
    }

    /**
     * Adds a grant. Must precede the first call to an engine, because the sweep cancels requests that are
     * not in the table.
     *
     * @param request the placement request that was granted
     * @param grant the grant
     */
    public void granted(PlaceRequest request, Grant grant) {
        entries.put(request.request(), new Entry(request, grant));
    }

    /**
     * Records that the KV cache left the prefill engine, or that the prefill failed.
     *
     * @param request the request
     */
    public void prefillEnded(RequestId request) {
        Entry entry = entries.get(request);
        if (entry != null) {
            entry.prefillEnded = true;
        }
    }

    /**
     * Records the progress of a stream.
     *
     * @param request the request
     * @param outputTokens tokens generated under the current grant
     */
    public void progressed(RequestId request, int outputTokens) {
        Entry entry = entries.get(request);
        if (entry != null) {
            entry.outputTokens = outputTokens;
        }
    }

    /**
     * Removes a request that ended.
     *
     * @param request the request
     */
    public void ended(RequestId request) {
        entries.remove(request);
    }

    /**
     * Returns whether a request of this host should be on an engine.
     *
     * @param engine the engine
     * @param request the request
     * @return true if its reservation is on this engine; for the prefill engine, only until the prefill has ended
     */
    public boolean expects(BackendServerId engine, RequestId request) {
        Entry entry = entries.get(request);
        if (entry == null) {
            return false;
        }
        return entry.grant.decode().equals(engine) || (entry.grant.prefill().equals(engine) && !entry.prefillEnded);
    }

    /**
     * Builds the renewals, which must be sent every second.
     *
     * @return one message for each cell
     */
    public List<PlaceRenew> renewals() {
        Map<CellId, List<PlaceRenew.Running>> byCell = new HashMap<>();
        for (Entry entry : entries.values()) {
            PlaceRequest request = entry.request;
            byCell.computeIfAbsent(request.cell(), c -> new ArrayList<>())
                    .add(new PlaceRenew.Running(
                            request.request(),
                            request.workspace(),
                            entry.grant.decode(),
                            entry.grant.pieces(),
                            request.promptTokens(),
                            entry.outputTokens));
        }
        List<PlaceRenew> messages = new ArrayList<>();
        byCell.forEach((cell, running) -> messages.add(new PlaceRenew(cell, host, incarnation, running)));
        return messages;
    }

    /**
     * Counts the reservations.
     *
     * @return the number of requests with a grant
     */
    public int size() {
        return entries.size();
    }
}
