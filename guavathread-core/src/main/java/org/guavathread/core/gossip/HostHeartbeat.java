package org.guavathread.core.gossip;

import org.guavathread.core.id.HostId;

/**
 * Heartbeat of a host whose report is known already. It is much smaller than a report, so that one datagram can carry
 * the heartbeats of many hosts.
 *
 * @param process hash of the host id and the start time of its process
 * @param sequence sequence number of the host's report that the heartbeat stands for
 * @param phase lifecycle phase of the process
 */
public record HostHeartbeat(int process, long sequence, HostPhase phase) {

    /**
     * Returns a short identifier of a process. In one of 50,000 fleets of 410 hosts two processes collide; one of them
     * is then kept alive only by its full reports.
     *
     * @param host the host
     * @param incarnation start time of its process, as in its reports
     * @return the 32-bit hash
     */
    public static int processOf(HostId host, long incarnation) {
        return host.value().hashCode() * 31 + Long.hashCode(incarnation);
    }
}
