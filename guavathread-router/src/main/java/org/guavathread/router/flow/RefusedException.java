package org.guavathread.router.flow;

import org.guavathread.core.request.Refusal;

/** Signals that a step of a request ended in a refusal. */
public class RefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    /**
     * Builds the exception.
     *
     * @param refusal the refusal to send to the caller
     */
    public RefusedException(Refusal refusal) {
        super(refusal.code() + ": " + refusal.message(), null, false, false);
        this.refusal = refusal;
    }

    public Refusal refusal() {
        return refusal;
    }
}
