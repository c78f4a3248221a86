package org.guavathread.core.sheet;

import java.util.Locale;

/** What kind of backend server a route leads to. */
public enum RouteTarget {
    /** Prefill and decode engines. */
    LANGUAGE,
    /** Plain services. */
    SERVICE;

    /**
     * Gives the word that the sheet uses.
     *
     * @return {@code "language"} or {@code "service"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
