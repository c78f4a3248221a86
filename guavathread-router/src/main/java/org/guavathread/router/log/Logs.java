package org.guavathread.router.log;

/** Configures logging. */
public final class Logs {

    /** Tag of audit trail entries. */
    public static final String AUDIT_TAG = "audit";

    /** Strong reference, because java.util.logging garbage-collects an unreferenced logger together with its level. */
    private static final java.util.logging.Logger GRIZZLY = java.util.logging.Logger.getLogger("org.glassfish.grizzly");

    private Logs() {}

    /**
     * Writes all entries of a level and above to standard error as lines of JSON. Must be called before the first log
     * call.
     *
     * @param level the lowest level, for example {@code "info"}
     */
    public static void configure(String level) {
        // Read when the first line is logged, if any: the library's start takes a host 40 ms of processor time.
        System.setProperty("tinylog.writer", "json console");
        System.setProperty("tinylog.level", level);
        System.setProperty("tinylog.autoshutdown", "true");
        // Grizzly logs the start of each listener through java.util.logging as plain text instead of JSON.
        GRIZZLY.setLevel(java.util.logging.Level.WARNING);
    }
}
