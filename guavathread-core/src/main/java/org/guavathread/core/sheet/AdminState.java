package org.guavathread.core.sheet;

import java.util.Locale;

/** Whether the sheet assigns new work to a host or a backend server. */
public enum AdminState {
    /** Accepts new work. */
    ACTIVE,
    /** Finishes its running requests and accepts no new work. */
    LEAVING;

    /**
     * Returns the spelling used in the sheet.
     *
     * @return {@code "active"} or {@code "leaving"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
