package org.guavathread.core.limit;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;

/** What the caller must do after an event of a {@link BudgetRequester}. */
public sealed interface LimitAction {

    /**
     * Sends a message to another host. Delivery is not guaranteed.
     *
     * @param to the host
     * @param message the message
     */
    record Send(HostId to, PeerMessage message) implements LimitAction {}

    /**
     * Admits a request, whose charge has been taken from the budget.
     *
     * @param request the request
     */
    record Admit(RequestId request) implements LimitAction {}

    /**
     * Refuses a request, which has not run.
     *
     * @param request the request
     * @param refusal the refusal for the caller
     */
    record Refuse(RequestId request, Refusal refusal) implements LimitAction {}

    /**
     * Keeps a deferrable request waiting.
     *
     * @param request the request
     * @param deadlineMillis the latest time at which it is decided
     */
    record WaitUntil(RequestId request, long deadlineMillis) implements LimitAction {}
}
