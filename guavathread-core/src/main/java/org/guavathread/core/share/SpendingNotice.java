package org.guavathread.core.share;

import java.util.List;

import org.guavathread.core.message.PeerMessage;

/**
 * Tells other hosts what processes have spent of workspaces' limits that are nearly used up. Hosts of earlier builds
 * ignore it and learn the same from reports, later.
 *
 * @param totals the running totals
 */
public record SpendingNotice(List<Total> totals) implements PeerMessage {

    /** Copies the list. */
    public SpendingNotice {
        totals = List.copyOf(totals);
    }

    /**
     * Running total of one process for one workspace.
     *
     * @param process hash of the host id and the start time of its process, as in heartbeats
     * @param sequence number of the latest report of the process when the total was read
     * @param workspace hash of the workspace id
     * @param units units that it has sent to servers since its start
     */
    public record Total(int process, long sequence, int workspace, long units) {}
}
