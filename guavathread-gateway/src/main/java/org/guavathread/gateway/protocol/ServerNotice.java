package org.guavathread.gateway.protocol;

import java.util.List;
import java.util.OptionalLong;

/**
 * What a backend server says of itself in the head of an answer, beside the answer.
 *
 * @param isLeaving whether its process is about to end
 * @param pausedUntilMillis until when it wants no requests from this host, if it asks for a pause
 * @param coldUntilMillis until when it is cold, if it says so
 * @param unreadable names of headers whose value could not be decoded; they have no effect
 */
public record ServerNotice(
        boolean isLeaving, OptionalLong pausedUntilMillis, OptionalLong coldUntilMillis, List<String> unreadable) {

    /** An answer without a notice. */
    public static final ServerNotice NONE =
            new ServerNotice(false, OptionalLong.empty(), OptionalLong.empty(), List.of());

    /** Copies the list. */
    public ServerNotice {
        unreadable = List.copyOf(unreadable);
    }

    /**
     * Tells whether the answer says nothing of the server.
     *
     * @return true if there is nothing to act on or to report
     */
    public boolean isEmpty() {
        return !isLeaving && pausedUntilMillis.isEmpty() && coldUntilMillis.isEmpty() && unreadable.isEmpty();
    }
}
