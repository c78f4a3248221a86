package org.guavathread.core.gossip;

import java.util.List;

import org.guavathread.core.dispatch.CrashTrait;
import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.LaterField;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * State of a host as it reports it to the others. Each report replaces the earlier ones of the same host, so any of
 * them may be lost. Hosts of builds without a later component get reports without it.
 *
 * @param host the host
 * @param incarnation start time of its process, in milliseconds since the epoch by its own clock
 * @param sequence number of the report within the incarnation
 * @param dataCentre the data centre in which it runs
 * @param callers address on which it listens for callers
 * @param peers address on which it listens for other hosts
 * @param phase lifecycle phase of its process
 * @param store position of the published state that it has applied
 * @param configuration version of the configuration in force; 0 before the first one
 * @param admitted units that it has admitted for each workspace since its start
 * @param withinReach number of hosts that are reachable for it, including itself
 * @param waiting length of its admission queue
 * @param best best rank of the requests in that queue
 * @param load its own load on backend servers
 * @param unreachable backend servers to which it cannot connect
 * @param crashed evidence of requests that crash backend servers, its own and what it learned from other hosts
 * @param limits limits that backend servers stated in their answers to this host
 * @param isCutOff whether it cannot connect to any backend server
 * @param capacity what its processor can do, in thousandths of a core; 0 if not known
 * @param priorities its requests by priority, for services whose requests have different ones
 */
public record HostReport(
        HostId host,
        long incarnation,
        long sequence,
        DataCentreId dataCentre,
        SocketAddressText callers,
        SocketAddressText peers,
        HostPhase phase,
        StorePosition store,
        long configuration,
        List<WorkspaceTotal> admitted,
        int withinReach,
        int waiting,
        WaitingRank best,
        List<ServerLoad> load,
        List<BackendServerId> unreachable,
        List<CrashEvidence> crashed,
        List<StatedLimit> limits,
        @LaterField("false") boolean isCutOff,
        @LaterField("0") int capacity,
        @LaterField List<PriorityLoad> priorities) {

    /** Copies the collections. */
    public HostReport {
        admitted = List.copyOf(admitted);
        load = List.copyOf(load);
        unreachable = List.copyOf(unreachable);
        crashed = List.copyOf(crashed);
        limits = List.copyOf(limits);
        priorities = List.copyOf(priorities);
    }

    /**
     * Units that a host has admitted for a workspace.
     *
     * @param workspace the workspace
     * @param units units since the start of the host's process
     */
    public record WorkspaceTotal(WorkspaceId workspace, double units) {}

    /**
     * Crashes of backend servers while they ran requests with a trait.
     *
     * @param trait the trait
     * @param crashes the latest crashes
     */
    public record CrashEvidence(CrashTrait trait, List<CrashSighting> crashes) {

        /** Copies the list. */
        public CrashEvidence {
            crashes = List.copyOf(crashes);
        }
    }

    /**
     * One crash of a backend server.
     *
     * @param process hash of the server's id and start time
     * @param ageMillis time since the crash, in milliseconds
     * @param isAcquitted whether a request with the same trait was answered after the crash was known
     */
    public record CrashSighting(int process, int ageMillis, boolean isAcquitted) {}

    /**
     * Limit that a backend server stated in an answer.
     *
     * @param server the server
     * @param perSecond requests a second from all hosts; infinite if the limit has ended
     * @param ageMillis time since the answer, in milliseconds
     */
    public record StatedLimit(BackendServerId server, double perSecond, int ageMillis) {}

    /**
     * Load of one host on one backend server.
     *
     * @param server the server
     * @param promptTokens prompt tokens that are not processed yet
     * @param heldTokens tokens that the requests occupy in its memory
     */
    public record ServerLoad(BackendServerId server, int promptTokens, int heldTokens) {}

    /**
     * Language requests of one service and priority at one host.
     *
     * @param service the service
     * @param priority the priority
     * @param running number of those that occupy memory of an engine
     * @param heldTokens tokens that they occupy
     * @param onTime number of those that wait, can be on time and belong to workspaces within their fair share
     * @param aboveShare number of the others that wait and can be on time
     * @param late number of those that wait and are late
     */
    public record PriorityLoad(
            ServiceName service, Priority priority, int running, int heldTokens, int onTime, int aboveShare, int late) {

        /**
         * Adds the load of another host, of the same service and priority.
         *
         * @param other the other load
         * @return the sum
         */
        public PriorityLoad plus(PriorityLoad other) {
            return new PriorityLoad(
                    service,
                    priority,
                    running + other.running,
                    heldTokens + other.heldTokens,
                    onTime + other.onTime,
                    aboveShare + other.aboveShare,
                    late + other.late);
        }

        /**
         * Returns the requests that run.
         *
         * @return the load without those that wait
         */
        public PriorityLoad withoutWaiting() {
            return new PriorityLoad(service, priority, running, heldTokens, 0, 0, 0);
        }

        /**
         * Returns the best rank of the waiting requests.
         *
         * @return the rank
         */
        public WaitingRank best() {
            if (onTime > 0) {
                return WaitingRank.ON_TIME;
            }
            if (aboveShare > 0) {
                return WaitingRank.ON_TIME_ABOVE_PART;
            }
            return late > 0 ? WaitingRank.LATE : WaitingRank.NONE;
        }
    }

    /**
     * Returns a copy of this report with the phase of a later heartbeat.
     *
     * @param later the later phase
     * @return the copy
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
                store,
                configuration,
                admitted,
                withinReach,
                waiting,
                best,
                load,
                unreachable,
                crashed,
                limits,
                isCutOff,
                capacity,
                priorities);
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
