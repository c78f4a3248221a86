package org.guavathread.router.backend;

import java.util.concurrent.CompletableFuture;

import org.guavathread.core.id.RequestId;
import org.guavathread.core.sheet.SocketAddressText;

/** A decode engine. Failures are {@code HttpExchangeException} or {@link BackendAnswerException}. */
public interface DecodeEngine extends Engine {

    /**
     * Reserves memory for a request.
     *
     * @param requestId the request
     * @param pieces number of memory pieces
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return whether the pieces were reserved
     */
    CompletableFuture<ReserveResult> reserve(RequestId requestId, int pieces, long deadlineMillis);

    /**
     * Makes the engine pull a KV cache from a prefill engine into the reserved memory.
     *
     * @param requestId the request
     * @param from address of the prefill engine
     * @param handle the handle that the prefill returned
     * @param deadlineMillis deadline for the response, in ms since the epoch
     * @return completes when the KV cache has been imported
     */
    CompletableFuture<Void> importKv(RequestId requestId, SocketAddressText from, String handle, long deadlineMillis);

    /**
     * Produces output tokens.
     *
     * @param request the range of tokens to produce
     * @param listener receives the tokens
     * @return a handle to cancel the stream
     */
    TokenStream decode(DecodeRequest request, TokenListener listener);
}
