package org.guavathread.router.backend;

/** Handle of a running token stream. */
@FunctionalInterface
public interface TokenStream {

    /**
     * Ends the stream and closes its connection; the listener gets a failure unless it has got its last call. The
     * engine keeps the request until it is cancelled there with {@link DecodeEngine#cancel}.
     */
    void cancel();
}
