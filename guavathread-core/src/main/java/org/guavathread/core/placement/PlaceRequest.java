package org.guavathread.core.placement;

import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.RequestKind;

/**
 * Asks the owner of a cell for engines and decode memory. A stream that resumes after a failure first releases its old
 * reservation and then asks again with the same request id; its prompt then includes the tokens generated so far.
 *
 * @param request the request
 * @param host the host that asks and to which the reply goes
 * @param incarnation the run of that host's process
 * @param cell the cell
 * @param workspace the workspace that is charged
 * @param kind the kind of the request
 * @param promptTokens length of the prompt in tokens
 * @param maxOutputTokens largest output in tokens
 * @param prefixHashes hashes of the leading blocks of the prompt, shortest first
 * @param targetAtMillis when the first token is due to meet the latency target
 * @param deadlineMillis when the whole answer is due; no grant is given after it
 */
public record PlaceRequest(
        RequestId request,
        HostId host,
        Incarnation incarnation,
        CellId cell,
        WorkspaceId workspace,
        RequestKind kind,
        int promptTokens,
        int maxOutputTokens,
        List<PrefixHash> prefixHashes,
        long targetAtMillis,
        long deadlineMillis)
        implements PeerMessage {

    /** Copies the hashes. */
    public PlaceRequest {
        prefixHashes = List.copyOf(prefixHashes);
    }
}
