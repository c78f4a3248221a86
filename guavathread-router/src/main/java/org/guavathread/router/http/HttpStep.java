package org.guavathread.router.http;

/** The step of an exchange at which something happened. */
public enum HttpStep {
    /** Waiting for a free connection of the pool. */
    POOL,
    /** Opening a new connection. */
    CONNECT,
    /** Writing the request. */
    SEND,
    /** Waiting for the status line and the headers of the response. */
    ANSWER_HEAD,
    /** Reading the body of the response. */
    ANSWER_BODY
}
