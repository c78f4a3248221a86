package org.guavathread.core.drain;

/** Next action of the daemon while it drains. */
public enum DrainStep {
    /** Nothing to do. */
    NONE,
    /** Refuse new work from now on, with DRAINING and not_run. */
    REFUSE_NEW_WORK,
    /** Cancel the requests that are still running. */
    CANCEL_RUNNING,
    /** Exit the process. */
    EXIT
}
