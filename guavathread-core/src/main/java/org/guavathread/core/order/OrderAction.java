package org.guavathread.core.order;

import java.util.Locale;

/** What an order asks of an engine. */
public enum OrderAction {
    /** Load a version of a model. */
    LOAD,
    /** Drop a model. */
    UNLOAD,
    /** Work as a prefill or as a decode engine. */
    ROLE;

    /**
     * Gives the word that the engine protocol uses.
     *
     * @return for example {@code "load"}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
