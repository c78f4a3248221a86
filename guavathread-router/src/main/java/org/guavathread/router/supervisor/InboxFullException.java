package org.guavathread.router.supervisor;

/** A task was rejected because the inbox of its duty is full; it will not run. */
public class InboxFullException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Builds the exception.
     *
     * @param duty name of the duty
     * @param capacity capacity of its inbox, in tasks
     */
    public InboxFullException(String duty, int capacity) {
        super("The inbox of duty \"" + duty + "\" holds " + capacity + " tasks and is full; try again later.");
    }
}
