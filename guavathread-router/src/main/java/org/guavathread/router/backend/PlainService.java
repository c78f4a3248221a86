package org.guavathread.router.backend;

import java.util.concurrent.CompletableFuture;

/** Client of a plain service. */
public interface PlainService {

    /**
     * Calls the service once; this adapter never retries.
     *
     * @param call the call
     * @return the response, whatever its status, or a failure: {@code RequestNotSentException} if the call has not run,
     *     otherwise {@code ExchangeFailedException} or {@link BackendAnswerException}
     */
    CompletableFuture<ServiceAnswer> call(ServiceCall call);
}
