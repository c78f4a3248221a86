package org.guavathread.router.backend;

import java.util.concurrent.CompletableFuture;

/** A plain service. */
public interface PlainService {

    /**
     * Calls the service once; the call is never repeated here.
     *
     * @param call the call
     * @return the answer with any status, or a failure: {@code RequestNotSentException} if the call has not run, else
     *     {@code ExchangeFailedException} or {@link BackendAnswerException}
     */
    CompletableFuture<ServiceAnswer> call(ServiceCall call);
}
