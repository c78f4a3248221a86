package org.guavathread.core.drain;

/** What the daemon is to do next while it drains. */
public enum DrainStep {
    /** Go on as before. */
    NONE,
    /** Refuse new work from now on, with DRAINING and not_run. */
    REFUSE_NEW_WORK,
    /** Cancel the requests that still run. */
    CANCEL_RUNNING,
    /** End the process. */
    EXIT
}
