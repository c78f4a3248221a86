package org.guavathread.router.supervisor;

/** A task was not taken because the inbox of its duty is full. Nothing was done. */
public class InboxFullException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Builds the exception.
     *
     * @param duty name of the duty
     * @param capacity how many tasks its inbox holds
     */
    public InboxFullException(String duty, int capacity) {
        super("The inbox of duty \"" + duty + "\" holds " + capacity + " tasks and is full; try again later.");
    }
}
