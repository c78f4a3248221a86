package org.guavathread.router.backend;

/** Handle of a running token stream. */
@FunctionalInterface
public interface TokenStream {

    /**
     * Cancels the stream and closes its connection. The listener receives a failure unless the stream has already
     * ended. The engine keeps the request until {@link DecodeEngine#cancel} cancels it there.
     */
    void cancel();
}
