package org.guavathread.core.sheet;

import java.util.Locale;

/** What the sheet wants of a host or a backend server. */
public enum AdminState {
    /** Takes work. */
    ACTIVE,
    /** Finishes what it has and takes no new work. */
    LEAVING;

    /**
     * Gives the word that the sheet uses.
     *
     * @return {@code "active"} or {@code "leaving"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
