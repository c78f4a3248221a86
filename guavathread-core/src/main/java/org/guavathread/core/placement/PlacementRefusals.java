package org.guavathread.core.placement;

import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.request.RequestKind;

/** Creates the refusals of a cell. All have run state {@code not_run}, because nothing was dispatched. */
final class PlacementRefusals {

    /** Lower estimates are within the noise, and callers should not retry immediately. */
    private static final long MIN_RETRY_MILLIS = 1_000;

    private PlacementRefusals() {}

    static Refusal tooLarge(int pieces) {
        return Refusal.notRun(
                RefusalCode.NO_ROOM,
                "The request needs " + pieces + " pieces of decode memory, more than any engine has; shorten it.");
    }

    static Refusal tooLate(long waitMillis) {
        return Refusal.notRun(
                        RefusalCode.NO_ROOM,
                        "No engine has room before the deadline of the request; send it again later.")
                .retryAfter(Math.max(MIN_RETRY_MILLIS, waitMillis));
    }

    static Refusal overdue(RequestKind kind, long waitMillis) {
        if (kind.priorityClass() == 0) {
            return tooLate(waitMillis);
        }
        return Refusal.notRun(RefusalCode.DEADLINE, "The deadline passed while the request waited for an engine.");
    }

    static Refusal queueFull(WorkspaceId workspace, long waitMillis) {
        return Refusal.notRun(
                        RefusalCode.OVERLOADED,
                        "The queue of workspace " + workspace + " is full; send the request again later.")
                .retryAfter(Math.max(MIN_RETRY_MILLIS, waitMillis));
    }
}
