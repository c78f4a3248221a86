package org.guavathread.core.request;

import java.util.Locale;

/** How a request may be delayed and repeated. */
public enum RequestKind {
    /** May wait and be repeated, but must be answered. */
    DEFERRABLE(true, 1),
    /** Must be answered fast; running it again has no further effect. */
    IDEMPOTENT(true, 0),
    /** Must be answered fast and must run at most once. */
    NON_REPEATABLE(false, 0);

    private final boolean repeatable;
    private final int priorityClass;

    RequestKind(boolean repeatable, int priorityClass) {
        this.repeatable = repeatable;
        this.priorityClass = priorityClass;
    }

    /**
     * Tells whether the router may send the request to a backend server a second time.
     *
     * @return true if a retry or a hedge is allowed
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Gives the class that orders waiting requests.
     *
     * @return 0 for requests that go first, 1 for requests that may wait
     */
    public int priorityClass() {
        return priorityClass;
    }

    /**
     * Gives the word that the sheet uses.
     *
     * @return for example {@code "non_repeatable"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
