package org.guavathread.core.order;

/**
 * Fencing number of an order. An engine that checks it refuses an order with a smaller number than the largest that it
 * has seen.
 *
 * @param value the number
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

    /** Smaller than the number of any order. */
    public static final FencingNumber NONE = new FencingNumber(0);

    /**
     * Returns the number of the next order to an engine.
     *
     * @param nowMillis the current time, in milliseconds since the epoch
     * @param lastIssued the last number that this host used for the engine
     * @param reported the number in a report made by the engine after this host became its issuer
     * @return the largest of the time, {@code lastIssued + 1} and {@code reported + 1}
     */
    public static FencingNumber next(long nowMillis, FencingNumber lastIssued, FencingNumber reported) {
        return new FencingNumber(Math.max(nowMillis, Math.max(lastIssued.value, reported.value) + 1));
    }

    @Override
    public int compareTo(FencingNumber other) {
        return Long.compare(value, other.value);
    }
}
