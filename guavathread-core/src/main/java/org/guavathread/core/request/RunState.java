package org.guavathread.core.request;

import java.util.Locale;

/** What a refusal says about whether the request ran. */
public enum RunState {
    /** The request did not run and will not run. */
    NOT_RUN,
    /** It cannot be known whether the request ran. */
    UNKNOWN;

    /**
     * Gives the value of the field {@code run} in a refusal.
     *
     * @return {@code "not_run"} or {@code "unknown"}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
