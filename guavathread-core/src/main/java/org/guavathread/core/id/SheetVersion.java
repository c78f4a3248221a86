package org.guavathread.core.id;

/**
 * Version of a published sheet; a newer sheet has a larger one.
 *
 * @param value the number; 0 stands for no sheet at all
 */
public record SheetVersion(long value) implements Comparable<SheetVersion> {

    /** The version of a host that has not accepted any sheet. */
    public static final SheetVersion NONE = new SheetVersion(0);

    /**
     * Checks the number.
     *
     * @throws IllegalArgumentException if the number is negative
     */
    public SheetVersion {
        if (value < 0) {
            throw new IllegalArgumentException("The sheet version " + value + " is negative; versions start at 1.");
        }
    }

    /**
     * Tells whether this version replaces another one.
     *
     * @param other the other version
     * @return true if this one is larger
     */
    public boolean isNewerThan(SheetVersion other) {
        return value > other.value;
    }

    @Override
    public int compareTo(SheetVersion other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
