package org.guavathread.core.publish;

import java.util.Optional;

import org.guavathread.core.gossip.HostReport;

/**
 * Decides when to list the store, when to wait for its changes, and when to ask another host instead. At most one call to
 * the store and one to another host run at a time.
 */
public final class StoreFollower {

    /** Waiting time of one call for changes; bounds how long a connection that went silent stays unnoticed. */
    public static final long WATCH_MILLIS = 4_000;

    /** Time after which a listing is given up: a slow store takes 200 ms, 50 times its usual 4 ms. */
    public static final long LISTING_TIMEOUT_MILLIS = 1_500;

    /** Time beyond the waiting time after which a call for changes is given up. */
    public static final long WATCH_SLACK_MILLIS = 1_000;

    /**
     * Pause after changes before the next call, so that changes in quick succession cost one call. It is a seventh of the
     * 2 s within which operators expect a change to be in force.
     */
    private static final long GATHER_MILLIS = 300;

    private static final long FIRST_PAUSE_MILLIS = 50;
    private static final long MAX_PAUSE_MILLIS = 800;
    private static final int MAX_DOUBLINGS = 4;

    /** A host that hears of a newer state waits this long for its own call for changes, which may be due in a while. */
    private static final long PEER_PATIENCE_MILLIS = 300 + GATHER_MILLIS;

    /** Pause between two questions to other hosts. */
    private static final long PEER_PAUSE_MILLIS = 400;

    /** What to call next. */
    public enum Call {
        /** List all items. */
        LISTING,
        /** Wait for changes after the revision that has been applied. */
        WATCH
    }

    private boolean calling;
    private boolean askingPeer;
    private boolean listed;
    private int failures;
    private long pauseUntilMillis;
    private long behindSinceMillis = Long.MAX_VALUE;
    private long peerPauseUntilMillis;

    /**
     * Decides about the next call to the store, and counts it as running.
     *
     * @param nowMillis the current time
     * @return the call, or empty if one runs or none is due
     */
    public Optional<Call> next(long nowMillis) {
        if (calling || nowMillis < pauseUntilMillis) {
            return Optional.empty();
        }
        calling = true;
        return Optional.of(listed ? Call.WATCH : Call.LISTING);
    }

    /**
     * Decides whether to ask another host for its state, and counts the question as running.
     *
     * @param ahead the host that has applied the newest state, if that is newer than this host's
     * @param nowMillis the current time
     * @return the host to ask
     */
    public Optional<HostReport> nextPeer(Optional<HostReport> ahead, long nowMillis) {
        if (ahead.isEmpty()) {
            behindSinceMillis = Long.MAX_VALUE;
            return Optional.empty();
        }
        behindSinceMillis = Math.min(behindSinceMillis, nowMillis);
        boolean waited = !listed || nowMillis - behindSinceMillis >= PEER_PATIENCE_MILLIS;
        if (askingPeer || !waited || nowMillis < peerPauseUntilMillis) {
            return Optional.empty();
        }
        askingPeer = true;
        return ahead;
    }

    /**
     * Notes an answer of the store.
     *
     * @param hasChanges whether it told of changes; more may follow soon
     * @param nowMillis the current time
     * @return true if the store had failed before
     */
    public boolean answered(boolean hasChanges, long nowMillis) {
        calling = false;
        listed = true;
        if (hasChanges) {
            pauseUntilMillis = nowMillis + GATHER_MILLIS;
        }
        boolean back = failures > 0;
        failures = 0;
        return back;
    }

    /** Notes that the store no longer has the history since the applied revision. */
    public void historyGone() {
        calling = false;
        listed = false;
    }

    /**
     * Notes that a call to the store failed.
     *
     * @param nowMillis the current time
     * @param draw a random number from 0 to 1 that spreads the hosts' next calls
     * @return true if this is the first failure in a row
     */
    public boolean failed(long nowMillis, double draw) {
        calling = false;
        long pause = Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << Math.min(failures, MAX_DOUBLINGS));
        pauseUntilMillis = nowMillis + (long) (pause * (0.5 + draw));
        failures++;
        return failures == 1;
    }

    /**
     * Notes the end of a question to another host.
     *
     * @param nowMillis the current time
     */
    public void peerAnswered(long nowMillis) {
        askingPeer = false;
        peerPauseUntilMillis = nowMillis + PEER_PAUSE_MILLIS;
    }

    /**
     * Tells whether the store fails to answer.
     *
     * @return true since the first failure, until the next answer
     */
    public boolean isOutage() {
        return failures > 0;
    }
}
