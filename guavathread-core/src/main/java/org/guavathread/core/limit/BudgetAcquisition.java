package org.guavathread.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.HostId;

/** The state of one request that acquires its budget. */
final class BudgetAcquisition {

    /** A grant that this host holds for the request. */
    record Held(HostId home, GrantId grant, long tokens, long usableUntilMillis) {}

    /** A take that has not been answered yet. */
    record PendingTake(HostId home, long tokens, long sentAtMillis) {}

    private final BudgetRequest request;
    private final long giveUpAtMillis;
    private final List<Held> held = new ArrayList<>();
    private final Map<Long, PendingTake> pendingTakes = new HashMap<>();
    private final Set<HostId> exhausted = new HashSet<>();
    private boolean queued;
    private boolean retryScheduled;
    private int retries;
    private long nextAttemptAtMillis;

    BudgetAcquisition(BudgetRequest request, long giveUpAtMillis) {
        this.request = request;
        this.giveUpAtMillis = giveUpAtMillis;
    }

    BudgetRequest request() {
        return request;
    }

    long giveUpAtMillis() {
        return giveUpAtMillis;
    }

    List<Held> held() {
        return held;
    }

    Map<Long, PendingTake> pendingTakes() {
        return pendingTakes;
    }

    /** Home hosts that granted less than requested, or did not answer, in the current attempt. */
    Set<HostId> exhausted() {
        return exhausted;
    }

    boolean isQueued() {
        return queued;
    }

    BudgetAcquisition queued(boolean value) {
        queued = value;
        return this;
    }

    /** Returns when the next attempt starts; 0 while one is in progress. */
    long nextAttemptAtMillis() {
        return nextAttemptAtMillis;
    }

    BudgetAcquisition nextAttemptAtMillis(long value) {
        nextAttemptAtMillis = value;
        return this;
    }

    /** Returns the number of retries scheduled so far. */
    int retries() {
        return retries;
    }

    /** Records that a retry is scheduled, so that the charge is part of the pending retries of the workspace. */
    BudgetAcquisition retryScheduled() {
        retryScheduled = true;
        retries++;
        return this;
    }

    /** Clears the scheduled retry; returns whether there was one. */
    boolean clearRetryScheduled() {
        boolean was = retryScheduled;
        retryScheduled = false;
        return was;
    }

    long heldTokens() {
        return held.stream().mapToLong(Held::tokens).sum();
    }

    long missingTokens() {
        return request.tokens()
                - heldTokens()
                - pendingTakes.values().stream().mapToLong(PendingTake::tokens).sum();
    }

    /** Returns whether this request neither holds a grant nor waits for a reply. */
    boolean isIdle() {
        return held.isEmpty() && pendingTakes.isEmpty();
    }

    boolean isComplete() {
        return heldTokens() >= request.tokens();
    }

    /** Returns when the first of the held grants expires. */
    long usableUntilMillis() {
        return held.stream().mapToLong(Held::usableUntilMillis).min().orElse(Long.MAX_VALUE);
    }
}
