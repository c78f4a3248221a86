package org.guavathread.core.gossip;

import org.guavathread.core.id.HostId;

/**
 * Sign of life of a host whose report is known already. It is a small part of a report, so that one datagram tells of
 * many hosts.
 *
 * @param process hash of the host and the start of its process
 * @param sequence number of its report that the sign stands for
 * @param phase what it can do for callers
 */
public record HostSign(int process, long sequence, HostPhase phase) {

    /**
     * Names a process in few bytes. Two of 410 hosts share a name in one of 50,000 fleets; one of them is then heard of
     * by its own reports only.
     *
     * @param host the host
     * @param incarnation start time of its process, as in its reports
     * @return the name
     */
    public static int processOf(HostId host, long incarnation) {
        return host.value().hashCode() * 31 + Long.hashCode(incarnation);
    }
}
