package org.guavathread.router.backend;

/** The result of an order to an engine. */
public enum OrderResult {
    /** The engine carries out the order. */
    ACCEPTED,
    /** The engine refused the order because it has seen a larger fencing number. */
    OLD_FENCING_NUMBER
}
