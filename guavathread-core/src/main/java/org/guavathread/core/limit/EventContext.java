package org.guavathread.core.limit;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.id.HostId;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;

/** The context of one event: the epoch view, the time and the actions collected so far. */
record EventContext(EpochView view, long nowMillis, List<LimitAction> actions) {

    static EventContext of(EpochView view, long nowMillis) {
        return new EventContext(view, nowMillis, new ArrayList<>());
    }

    void send(HostId to, PeerMessage message) {
        actions.add(new LimitAction.Send(to, message));
    }

    void keepWaiting(BudgetAcquisition acquisition) {
        actions.add(new LimitAction.WaitUntil(acquisition.request().id(), acquisition.giveUpAtMillis()));
    }

    /**
     * Refuses a request as not run.
     *
     * @param what the rest of a sentence that starts with the workspace
     * @param retryAfterMillis 0 if a retry cannot succeed
     */
    void refuse(BudgetRequest request, RefusalCode code, String what, long retryAfterMillis) {
        String message = "The workspace " + request.workspace().value() + " " + what + " (" + request.tokens()
                + " tokens were asked for).";
        Refusal refusal = Refusal.notRun(code, message).retryAfter(retryAfterMillis);
        actions.add(new LimitAction.Refuse(request.id(), refusal));
    }
}
