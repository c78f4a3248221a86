package org.guavathread.core.gossip;

import java.util.List;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * What a host says about itself. Each report replaces the earlier ones of the same host, so any of them may be lost.
 *
 * @param host the host
 * @param incarnation start time of its process, in milliseconds since the epoch by its own clock
 * @param sequence number of the report within the incarnation
 * @param dataCentre where it runs
 * @param callers where it listens for callers
 * @param peers where it listens for other hosts
 * @param phase what it can do for callers
 * @param storeRevision revision of the published state that it has applied
 * @param admitted units that it admitted for each workspace since its start
 * @param withinReach number of hosts within its reach, itself included
 * @param waiting number of its requests that wait for room on an engine
 * @param best rank of the best of them
 * @param load its own work on backend servers
 * @param crashed fingerprints of requests that crashed backend servers, with the number of crashes
 */
public record HostReport(
        HostId host,
        long incarnation,
        long sequence,
        DataCentreId dataCentre,
        SocketAddressText callers,
        SocketAddressText peers,
        HostPhase phase,
        long storeRevision,
        List<WorkspaceTotal> admitted,
        int withinReach,
        int waiting,
        WaitingRank best,
        List<ServerLoad> load,
        List<CrashCount> crashed) {

    /** Copies the collections. */
    public HostReport {
        admitted = List.copyOf(admitted);
        load = List.copyOf(load);
        crashed = List.copyOf(crashed);
    }

    /**
     * What a host admitted for a workspace.
     *
     * @param workspace the workspace
     * @param units units since the start of the host's process
     */
    public record WorkspaceTotal(WorkspaceId workspace, double units) {}

    /**
     * How often a request crashed backend servers.
     *
     * @param fingerprint the request
     * @param crashes number of crashes that the host saw
     */
    public record CrashCount(long fingerprint, int crashes) {}

    /**
     * One host's work on one backend server.
     *
     * @param server the server
     * @param promptTokens tokens of prompts that are not read yet
     * @param heldTokens tokens that its requests keep in memory
     */
    public record ServerLoad(BackendServerId server, int promptTokens, int heldTokens) {}

    /**
     * Gives this report with a phase that was heard of later.
     *
     * @param later the phase
     * @return the changed report
     */
    public HostReport withPhase(HostPhase later) {
        return new HostReport(
                host,
                incarnation,
                sequence,
                dataCentre,
                callers,
                peers,
                later,
                storeRevision,
                admitted,
                withinReach,
                waiting,
                best,
                load,
                crashed);
    }

    /**
     * Tells whether this report is newer than another one of the same host.
     *
     * @param other the other report
     * @return true if it replaces the other one
     */
    public boolean isNewerThan(HostReport other) {
        return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
    }
}
