package org.guavathread.core.placement;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;

/**
 * Renews all reservations of one host in one cell. A new owner of the cell can rebuild the ledger from it.
 *
 * @param cell the cell
 * @param host the host whose requests these are
 * @param incarnation the run of that host's process
 * @param running its requests in this cell
 */
public record PlaceRenew(CellId cell, HostId host, Incarnation incarnation, List<Running> running)
        implements PeerMessage {

    /** Copies the list. */
    public PlaceRenew {
        running = List.copyOf(running);
    }

    /**
     * One request that still runs.
     *
     * @param request the request
     * @param workspace its workspace
     * @param decode its decode engine
     * @param pieces pieces of decode memory that it holds
     * @param promptTokens length of its prompt in tokens
     * @param outputTokens tokens generated so far
     */
    public record Running(
            RequestId request,
            WorkspaceId workspace,
            BackendServerId decode,
            int pieces,
            int promptTokens,
            int outputTokens) {

        int neededPieces(int tokensPerPiece) {
            return Math.max(pieces, (promptTokens + outputTokens + tokensPerPiece - 1) / tokensPerPiece);
        }
    }
}
