package org.guavathread.router.backend;

/** How an engine answered an order. */
public enum OrderResult {
    /** The order is carried out. */
    ACCEPTED,
    /** The engine has seen a larger fencing number. */
    OLD_FENCING_NUMBER
}
