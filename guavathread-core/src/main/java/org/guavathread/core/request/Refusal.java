package org.guavathread.core.request;

/**
 * A refusal as it is sent to the caller.
 *
 * @param code reason of the refusal
 * @param message one sentence that names the offending value and what to do
 * @param run what is known about whether the request ran
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds; 0 if waiting does not help
 */
public record Refusal(RefusalCode code, String message, RunState run, long retryAfterMillis) {

    /**
     * Returns a refusal of a request that did not run and that waiting does not help.
     *
     * @param code reason of the refusal
     * @param message one sentence that names the offending value and what to do
     * @return the refusal
     */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(code, message, RunState.NOT_RUN, 0);
    }

    /**
     * Returns a refusal of a request that may have run.
     *
     * @param code reason of the refusal
     * @param message one sentence that names the offending value and what to do
     * @return the refusal
     */
    public static Refusal unknown(RefusalCode code, String message) {
        return new Refusal(code, message, RunState.UNKNOWN, 0);
    }

    /**
     * Returns a copy of this refusal with a time for the next retry.
     *
     * @param millis time until the retry, in milliseconds
     * @return the copy
     */
    public Refusal retryAfter(long millis) {
        return new Refusal(code, message, run, millis);
    }
}
