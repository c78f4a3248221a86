package org.guavathread.core.placement;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.RequestKind;

/** Decode memory reserved for a request, and the engines that serve it. */
final class Reservation {

    private final RequestId request;
    private final HostId host;
    private final WorkspaceId workspace;
    private final BackendServerId decode;
    private final long reservedAtMillis;
    private final int grantedPieces;
    private int pieces;
    private long deadlineMillis;
    private BackendServerId prefill;
    private RequestKind kind;
    private int promptTokens;
    private int expectedOutput;
    private List<PrefixHash> prefixHashes = List.of();

    Reservation(
            RequestId request,
            HostId host,
            WorkspaceId workspace,
            BackendServerId decode,
            int pieces,
            long reservedAtMillis) {
        this.request = request;
        this.host = host;
        this.workspace = workspace;
        this.decode = decode;
        this.pieces = pieces;
        grantedPieces = pieces;
        this.reservedAtMillis = reservedAtMillis;
    }

    /** Sets the fields that only the owner that granted the reservation knows. */
    Reservation granted(FairQueue.Item item, BackendServerId prefillEngine) {
        prefill = prefillEngine;
        kind = item.request().kind();
        promptTokens = item.request().promptTokens();
        expectedOutput = item.expectedOutput();
        prefixHashes = item.request().prefixHashes();
        return this;
    }

    Reservation deadline(long millis) {
        deadlineMillis = millis;
        return this;
    }

    void grow(int toPieces) {
        pieces = toPieces;
    }

    /** Marks the prefill as ended, so that it is no longer cancelled or counted as pending. */
    void prefillEnded() {
        prefill = null;
    }

    RequestId request() {
        return request;
    }

    HostId host() {
        return host;
    }

    WorkspaceId workspace() {
        return workspace;
    }

    BackendServerId decode() {
        return decode;
    }

    /** Returns the prefill engine, or null if the prefill ended or another owner granted it. */
    BackendServerId prefill() {
        return prefill;
    }

    /** Returns the kind, or null if another owner granted the reservation. */
    RequestKind kind() {
        return kind;
    }

    int promptTokens() {
        return promptTokens;
    }

    int expectedOutput() {
        return expectedOutput;
    }

    List<PrefixHash> prefixHashes() {
        return prefixHashes;
    }

    int pieces() {
        return pieces;
    }

    /** Returns the pieces reserved at the grant, before any growth. */
    int grantedPieces() {
        return grantedPieces;
    }

    long reservedAtMillis() {
        return reservedAtMillis;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }
}
