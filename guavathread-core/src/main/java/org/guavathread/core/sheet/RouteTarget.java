package org.guavathread.core.sheet;

import java.util.Locale;

/** Kind of backend server that a route forwards to. */
public enum RouteTarget {
    /** Prefill and decode engines. */
    LANGUAGE,
    /** Plain services. */
    SERVICE;

    /**
     * Returns the spelling used in the sheet.
     *
     * @return {@code "language"} or {@code "service"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
