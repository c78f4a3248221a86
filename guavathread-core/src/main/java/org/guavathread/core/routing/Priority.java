package org.guavathread.core.routing;

/**
 * Priority of a request, as the operator publishes it for its route or its workspace.
 *
 * @param level the level; 0 is the most urgent
 */
public record Priority(int level) implements Comparable<Priority> {

    /** The priority of routes and workspaces for which none is published. */
    public static final Priority DEFAULT = new Priority(5);

    /**
     * Checks the level.
     *
     * @throws IllegalArgumentException if the level is negative
     */
    public Priority {
        if (level < 0) {
            throw new IllegalArgumentException("The priority " + level + " is negative.");
        }
    }

    /**
     * Tells whether this priority is more urgent than another one.
     *
     * @param other the other priority
     * @return true if requests of this priority go first
     */
    public boolean isMoreUrgentThan(Priority other) {
        return level < other.level;
    }

    @Override
    public int compareTo(Priority other) {
        return Integer.compare(level, other.level);
    }

    @Override
    public String toString() {
        return Integer.toString(level);
    }
}
