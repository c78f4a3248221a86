package org.guavathread.core.publish;

import java.util.Optional;

import org.guavathread.core.gossip.HostReport;

/**
 * Schedules the calls that keep this host in sync with the store: a full listing, a watch for changes, or a request to
 * another host. At most one call to the store and one to another host run at a time.
 */
public final class StoreFollower {

    /** Long-polling time of one watch; bounds how long a dead connection stays undetected. */
    public static final long WATCH_MILLIS = 4_000;

    /** Timeout of a listing or a probe: a slow store takes 200 ms, 50 times its usual 4 ms. */
    public static final long SHORT_CALL_TIMEOUT_MILLIS = 1_500;

    /** Time beyond the long-polling time after which a watch times out. */
    public static final long WATCH_SLACK_MILLIS = 1_000;

    /**
     * Debounce time after changes, so that changes in quick succession cost one call, as a fraction of the time within
     * which operators expect a change to be in force.
     */
    private static final double DEBOUNCE_FRACTION = 0.15;

    private static final long INITIAL_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 800;
    private static final int MAX_DOUBLINGS = 4;

    /** Time beyond the debounce for which a host that learns of a newer state waits for its own watch. */
    private static final long PEER_FALLBACK_SLACK_MILLIS = 300;

    /** Minimum time between two requests to other hosts. */
    private static final long PEER_INTERVAL_MILLIS = 400;

    /** The next call to the store. */
    public enum Call {
        /** List all items. */
        LISTING,
        /** Wait for changes after the applied revision. */
        WATCH,
        /**
         * Ask for changes without waiting, after a failure. Tells whether the store answers again, and in which epoch: a
         * watch would not be answered before the next change if the store has come back with the applied revision.
         */
        PROBE
    }

    private final long debounceMillis;
    private boolean callRunning;
    private boolean peerCallRunning;
    private boolean listed;
    private boolean listedInVain;
    private int failures;
    private long nextCallMillis;
    private long behindSinceMillis = Long.MAX_VALUE;
    private long nextPeerCallMillis;

    /**
     * Creates a follower that has read nothing.
     *
     * @param applyMillis time within which operators expect a change to be in force, in milliseconds
     */
    public StoreFollower(long applyMillis) {
        this.debounceMillis = (long) (DEBOUNCE_FRACTION * applyMillis);
    }

    /**
     * Returns the next call to the store, and counts it as running.
     *
     * @param nowMillis the current time
     * @return the call, or empty if one is running or none is due
     */
    public Optional<Call> next(long nowMillis) {
        if (callRunning || nowMillis < nextCallMillis) {
            return Optional.empty();
        }
        callRunning = true;
        if (!listed) {
            return Optional.of(Call.LISTING);
        }
        return Optional.of(failures > 0 ? Call.PROBE : Call.WATCH);
    }

    /**
     * Decides whether to request the state of another host, and counts the request as running.
     *
     * @param ahead the host that knows most of what this host does not know
     * @param applied the store's position that this host has applied
     * @param nowMillis the current time
     * @return the host to ask
     */
    public Optional<HostReport> nextPeer(Optional<HostReport> ahead, StorePosition applied, long nowMillis) {
        if (ahead.isEmpty()) {
            behindSinceMillis = Long.MAX_VALUE;
            return Optional.empty();
        }
        behindSinceMillis = Math.min(behindSinceMillis, nowMillis);
        boolean storeMayTell = listed && ahead.get().store().isAfter(applied);
        boolean waited = nowMillis - behindSinceMillis >= debounceMillis + PEER_FALLBACK_SLACK_MILLIS;
        if (peerCallRunning || storeMayTell && !waited || nowMillis < nextPeerCallMillis) {
            return Optional.empty();
        }
        peerCallRunning = true;
        return ahead;
    }

    /**
     * Records an answer of the store.
     *
     * @param hasChanges whether it contained changes, so that more may follow soon
     * @param nowMillis the current time
     * @return true if this ends an outage
     */
    public boolean answered(boolean hasChanges, long nowMillis) {
        callRunning = false;
        listed = true;
        if (hasChanges) {
            nextCallMillis = nowMillis + debounceMillis;
        }
        boolean recovered = failures > 0;
        failures = 0;
        return recovered;
    }

    /**
     * Records that the store cannot continue from the applied position, because it has discarded that history or has begun
     * another one, so that a listing is needed. If the last listing led to the same answer, the next one is delayed.
     *
     * @param nowMillis the current time
     */
    public void historyGone(long nowMillis) {
        callRunning = false;
        listed = false;
        if (listedInVain) {
            nextCallMillis = Math.max(nextCallMillis, nowMillis + MAX_BACKOFF_MILLIS);
        }
        listedInVain = true;
    }

    /** Records that the store has continued from the applied position. */
    public void continued() {
        listedInVain = false;
    }

    /**
     * Records that a call to the store failed.
     *
     * @param nowMillis the current time
     * @param jitter a random number from 0 to 1 that spreads the next calls of the hosts
     * @return true if this is the first failure in a row
     */
    public boolean failed(long nowMillis, double jitter) {
        callRunning = false;
        long backoff = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS));
        nextCallMillis = nowMillis + (long) (backoff * (0.5 + jitter));
        failures++;
        return failures == 1;
    }

    /**
     * Records the end of a request to another host.
     *
     * @param nowMillis the current time
     */
    public void peerAnswered(long nowMillis) {
        peerCallRunning = false;
        nextPeerCallMillis = nowMillis + PEER_INTERVAL_MILLIS;
    }

    /**
     * Tells whether calls to the store are failing.
     *
     * @return true from the first failure until the next answer
     */
    public boolean isOutage() {
        return failures > 0;
    }
}
