package org.guavathread.core.order;

import java.util.Locale;

/** Action that an order tells an engine to perform. */
public enum OrderAction {
    /** Load a version of a model. */
    LOAD,
    /** Unload a model. */
    UNLOAD,
    /** Change the role to prefill or to decode. */
    ROLE;

    /**
     * Returns the spelling used in the engine protocol.
     *
     * @return for example {@code "load"}
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
