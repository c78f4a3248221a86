package org.guavathread.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.guavathread.core.id.RequestId;

/**
 * Accounts for the decode memory of one engine. Reservations of this owner count immediately. Load reports lag behind,
 * so only the usage beyond these reservations is taken from them, such as orphans and grants of an earlier owner.
 */
final class DecodeLedger extends EngineState {

    private record Released(int pieces, long reservedAtMillis, long releasedAtMillis) {}

    private final Map<RequestId, Reservation> held = new HashMap<>();
    private final Deque<Released> released = new ArrayDeque<>();
    private int memoryPieces;
    private int reservedPieces;
    private int unattributedPieces;

    DecodeLedger(EngineSpec spec) {
        super(spec);
        memoryPieces = spec.memoryPieces();
    }

    int memoryPieces() {
        return memoryPieces;
    }

    int reservedPieces() {
        return reservedPieces;
    }

    int freePieces() {
        return memoryPieces - reservedPieces - unattributedPieces;
    }

    void reserve(Reservation reservation) {
        held.put(reservation.request(), reservation);
        reservedPieces += reservation.pieces();
    }

    /** Adds a reservation that another owner granted; the last load report counted it as unattributed usage. */
    void adopt(Reservation reservation) {
        reserve(reservation);
        unattributedPieces = Math.max(0, unattributedPieces - reservation.pieces());
    }

    void grow(Reservation reservation, int toPieces) {
        int growth = toPieces - reservation.pieces();
        reservation.grow(toPieces);
        reservedPieces += growth;
        unattributedPieces = Math.max(0, unattributedPieces - growth);
    }

    void release(Reservation reservation, long nowMillis) {
        if (held.remove(reservation.request()) != null) {
            reservedPieces -= reservation.pieces();
            released.addLast(new Released(reservation.pieces(), reservation.reservedAtMillis(), nowMillis));
        }
    }

    /** Marks the free memory as insufficient for a reservation that the engine refused, until the next load report. */
    void refused(int pieces) {
        unattributedPieces = Math.max(unattributedPieces, memoryPieces - reservedPieces - pieces + 1);
    }

    @Override
    boolean reported(LoadReport report) {
        if (!super.reported(report)) {
            return false;
        }
        if (report.memoryPieces() > 0) {
            memoryPieces = report.memoryPieces();
        }
        long taken = report.takenAtMillis();
        while (!released.isEmpty() && released.peekFirst().releasedAtMillis() <= taken) {
            released.removeFirst();
        }
        int attributed = 0;
        for (Reservation reservation : held.values()) {
            attributed += reservation.reservedAtMillis() <= taken ? reservation.pieces() : 0;
        }
        for (Released entry : released) {
            attributed += entry.reservedAtMillis() <= taken ? entry.pieces() : 0;
        }
        unattributedPieces = Math.max(0, report.usedPieces() - attributed);
        return true;
    }
}
