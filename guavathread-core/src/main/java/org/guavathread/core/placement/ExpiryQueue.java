package org.guavathread.core.placement;

import java.util.Comparator;
import java.util.Map;
import java.util.PriorityQueue;

import org.guavathread.core.id.RequestId;

/** Finds expired reservations. A renewal leaves the queue unchanged; a renewed reservation is requeued when polled. */
final class ExpiryQueue {

    private record Entry(long atMillis, RequestId request) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atMillis).thenComparing(Entry::request));

    void add(Reservation reservation) {
        entries.add(new Entry(reservation.deadlineMillis(), reservation.request()));
    }

    /** Returns the next time to call {@link #pollExpired}, or {@code Long.MAX_VALUE}. */
    long nextAtMillis() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().atMillis();
    }

    /** Removes and returns a reservation that has expired, or returns null. */
    Reservation pollExpired(Map<RequestId, Reservation> reservations, long nowMillis) {
        while (nextAtMillis() <= nowMillis) {
            Reservation reservation = reservations.get(entries.poll().request());
            if (reservation != null && reservation.deadlineMillis() <= nowMillis) {
                return reservation;
            }
            if (reservation != null) {
                add(reservation);
            }
        }
        return null;
    }
}
