package org.guavathread.core.sheet;

import java.util.Locale;

/** Role of a backend server. */
public enum BackendKind {
    /** Computes the KV cache of a prompt. */
    PREFILL,
    /** Generates tokens from an imported KV cache. */
    DECODE,
    /** Answers plain HTTP calls. */
    SERVICE;

    /**
     * Returns the spelling used in the sheet.
     *
     * @return for example {@code "prefill"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether this is a model engine.
     *
     * @return true for prefill and decode engines
     */
    public boolean isEngine() {
        return this != SERVICE;
    }
}
