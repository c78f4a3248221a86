package org.guavathread.router.backend;

import java.util.Locale;

/** The stage of inference that an engine serves. */
public enum EngineRole {
    /** Computes the KV cache of prompts. */
    PREFILL,
    /** Produces output tokens. */
    DECODE;

    /**
     * Returns the name in the engine protocol.
     *
     * @return the name in lower case
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Finds a role by its name in the engine protocol.
     *
     * @param name the name
     * @return the role
     * @throws IllegalArgumentException if no role has this name
     */
    public static EngineRole ofWireName(String name) {
        for (EngineRole role : values()) {
            if (role.wireName().equals(name)) {
                return role;
            }
        }
        throw new IllegalArgumentException("\"" + name + "\" is not an engine role; expected prefill or decode.");
    }
}
