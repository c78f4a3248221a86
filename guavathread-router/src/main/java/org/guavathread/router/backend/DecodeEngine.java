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
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return whether the pieces are held
     */
    CompletableFuture<ReserveResult> reserve(RequestId requestId, int pieces, long deadlineMillis);

    /**
     * Lets the engine pull a KV cache from a prefill engine into the reserved memory.
     *
     * @param requestId the request
     * @param from address of the prefill engine
     * @param handle the handle that the prefill returned
     * @param deadlineMillis time by which the answer must have come, in ms since the epoch
     * @return completes when the KV cache is in place
     */
    CompletableFuture<Void> importKv(RequestId requestId, SocketAddressText from, String handle, long deadlineMillis);

    /**
     * Produces output tokens.
     *
     * @param request which tokens
     * @param listener receives them
     * @return a handle to end the stream
     */
    TokenStream decode(DecodeRequest request, TokenListener listener);
}
