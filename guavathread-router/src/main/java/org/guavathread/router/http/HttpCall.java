package org.guavathread.router.http;

/** Handle of a running exchange. */
@FunctionalInterface
public interface HttpCall {

    /**
     * Ends the exchange and closes its connection. The listener receives a failure that tells whether the request may
     * have run. Does nothing if the exchange has ended.
     */
    void cancel();
}
