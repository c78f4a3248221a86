package org.guavathread.router.backend;

/** How a decode engine answered a reservation. */
public enum ReserveResult {
    /** The pieces are held for the request. */
    RESERVED,
    /** Too few pieces are free. */
    NO_ROOM
}
