package org.guavathread.core.sheet;

import java.util.Locale;

/** What a backend server does. */
public enum BackendKind {
    /** Computes the KV cache of a prompt. */
    PREFILL,
    /** Generates tokens from an imported KV cache. */
    DECODE,
    /** Answers plain HTTP calls. */
    SERVICE;

    /**
     * Gives the word that the sheet uses.
     *
     * @return for example {@code "prefill"}
     */
    public String sheetName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Tells whether this is a language engine.
     *
     * @return true for prefill and decode engines
     */
    public boolean isEngine() {
        return this != SERVICE;
    }
}
