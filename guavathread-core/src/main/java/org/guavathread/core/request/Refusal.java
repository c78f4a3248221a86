package org.guavathread.core.request;

/**
 * A refusal as the caller sees it.
 *
 * @param code why
 * @param message one sentence that names the offending value and what to do
 * @param run what is known about whether the request ran
 * @param retryAfterMillis how long to wait before a new try is useful, in milliseconds; 0 if waiting does not help
 */
public record Refusal(RefusalCode code, String message, RunState run, long retryAfterMillis) {

    /**
     * Builds a refusal of a request that did not run and that waiting does not help.
     *
     * @param code why
     * @param message one sentence that names the offending value and what to do
     * @return the refusal
     */
    public static Refusal notRun(RefusalCode code, String message) {
        return new Refusal(code, message, RunState.NOT_RUN, 0);
    }

    /**
     * Builds a refusal of a request of which it is not known whether it ran.
     *
     * @param code why
     * @param message one sentence that names the offending value and what to do
     * @return the refusal
     */
    public static Refusal unknown(RefusalCode code, String message) {
        return new Refusal(code, message, RunState.UNKNOWN, 0);
    }

    /**
     * Copies this refusal with a waiting time.
     *
     * @param millis the waiting time in milliseconds
     * @return the copy
     */
    public Refusal retryAfter(long millis) {
        return new Refusal(code, message, run, millis);
    }
}
