package org.guavathread.core.request;

import java.util.Locale;

/** Whether a request may be delayed and whether it may be repeated. */
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
     * Returns the priority class of queued requests of this kind.
     *
     * @return 0 for requests that go first, 1 for requests that may wait
     */
    public int priorityClass() {
        return priorityClass;
    }

    /**
     * Returns the name of this kind in the sheet.
     *
     * @return for example {@code "non_repeatable"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
