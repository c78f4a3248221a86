package org.guavathread.router.flow;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;

import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.router.http.ExchangeFailedException;
import org.guavathread.router.http.RequestNotSentException;
import org.guavathread.router.supervisor.InboxFullException;

/** Classifies failures of futures and converts them to refusals. */
final class Failures {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    private Failures() {}

    static Throwable causeOf(Throwable failure) {
        Throwable cause = failure;
        while ((cause instanceof CompletionException || cause instanceof ExecutionException)
                && cause.getCause() != null) {
            cause = cause.getCause();
        }
        return cause;
    }

    /** Tells whether the request certainly did not reach the backend server. */
    static boolean isNotSent(Throwable failure) {
        return causeOf(failure) instanceof RequestNotSentException;
    }

    /** Tells whether the connection broke before the backend server had answered, as it does when the server crashes. */
    static boolean isConnectionLost(Throwable failure) {
        return causeOf(failure) instanceof ExchangeFailedException lost && lost.getCause() instanceof IOException;
    }

    /** Gives the refusal for a failure before any dispatch to a backend server. */
    static Refusal beforeDispatch(Throwable failure) {
        Throwable cause = causeOf(failure);
        if (cause instanceof RefusedException refused) {
            return refused.refusal();
        }
        if (cause instanceof InboxFullException) {
            return Refusal.notRun(RefusalCode.OVERLOADED, cause.getMessage()).retryAfter(RETRY_AFTER_MILLIS);
        }
        return Refusal.notRun(RefusalCode.BACKEND_FAILED, String.valueOf(cause.getMessage()))
                .retryAfter(RETRY_AFTER_MILLIS);
    }
}
