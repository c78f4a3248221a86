package org.guavathread.router.backend;

/** The result of a reservation on a decode engine. */
public enum ReserveResult {
    /** The pieces are reserved for the request. */
    RESERVED,
    /** The engine has too few free pieces. */
    INSUFFICIENT_MEMORY
}
