package org.guavathread.core.limit;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;

/** What {@link BudgetRequester} asks its shell to do. */
public sealed interface LimitAction {

    /**
     * Sends a message to another host. It need not arrive.
     *
     * @param to the host
     * @param message the message
     */
    record Send(HostId to, PeerMessage message) implements LimitAction {}

    /**
     * Lets a request run; its charge is spent.
     *
     * @param request the request
     */
    record Admit(RequestId request) implements LimitAction {}

    /**
     * Refuses a request, which has not run.
     *
     * @param request the request
     * @param refusal what to tell the caller
     */
    record Refuse(RequestId request, Refusal refusal) implements LimitAction {}

    /**
     * Keeps a deferrable request waiting.
     *
     * @param request the request
     * @param deadlineMillis when it is refused at the latest
     */
    record WaitUntil(RequestId request, long deadlineMillis) implements LimitAction {}
}
