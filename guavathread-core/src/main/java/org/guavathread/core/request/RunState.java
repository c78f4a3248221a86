package org.guavathread.core.request;

import java.util.Locale;

/** What is known about whether a refused request ran. */
public enum RunState {
    /** The request did not run and will not run. */
    NOT_RUN,
    /** It cannot be known whether the request ran. */
    UNKNOWN;

    /**
     * Returns the value of the field {@code run} in a refusal.
     *
     * @return {@code "not_run"} or {@code "unknown"}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
