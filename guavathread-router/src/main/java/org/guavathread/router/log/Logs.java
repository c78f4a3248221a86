package org.guavathread.router.log;

import org.tinylog.configuration.Configuration;

/** Sets up tinylog. */
public final class Logs {

    /** Tag of the audit trail. */
    public static final String AUDIT_TAG = "audit";

    /** Held here because java.util.logging forgets the level of a logger that nobody refers to. */
    private static final java.util.logging.Logger GRIZZLY = java.util.logging.Logger.getLogger("org.glassfish.grizzly");

    private Logs() {}

    /**
     * Sends all entries from a level upwards to standard error as lines of JSON. Must run before the first log call.
     *
     * @param level the lowest level, for example {@code "info"}
     */
    public static void configure(String level) {
        Configuration.set("writer", "json console");
        Configuration.set("level", level);
        Configuration.set("autoshutdown", "true");
        // Grizzly logs each listener through java.util.logging as plain text, which is not structured.
        GRIZZLY.setLevel(java.util.logging.Level.WARNING);
    }
}
