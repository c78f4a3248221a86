package org.guavathread.core.id;

/**
 * One run of a host's process. A later run of the same host has a larger value.
 *
 * @param startedAtMillis start time of the process in milliseconds since the epoch
 */
public record Incarnation(long startedAtMillis) implements Comparable<Incarnation> {

    /**
     * Checks the start time.
     *
     * @throws IllegalArgumentException if the start time is negative
     */
    public Incarnation {
        if (startedAtMillis < 0) {
            throw new IllegalArgumentException(
                    "The incarnation " + startedAtMillis + " is negative; give the start time in milliseconds.");
        }
    }

    /**
     * Tells whether this is a later run than another one of the same host.
     *
     * @param other the other run
     * @return true if this one started later
     */
    public boolean isAfter(Incarnation other) {
        return startedAtMillis > other.startedAtMillis;
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(startedAtMillis, other.startedAtMillis);
    }
}
