package org.guavathread.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.HostId;

/** The state of one request that acquires its budget. */
final class Gathering {

    /** A grant that this host holds for the request. */
    record Held(HostId home, GrantId grant, long tokens, long usableUntilMillis) {}

    /** A take that has not been answered yet. */
    record Ask(HostId home, long tokens, long askedAtMillis) {}

    private final BudgetRequest request;
    private final long giveUpAtMillis;
    private final List<Held> held = new ArrayList<>();
    private final Map<Long, Ask> open = new HashMap<>();
    private final Set<HostId> exhausted = new HashSet<>();
    private boolean queued;
    private boolean planned;
    private int tries;
    private long nextTryAtMillis;

    Gathering(BudgetRequest request, long giveUpAtMillis) {
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

    Map<Long, Ask> open() {
        return open;
    }

    /** Home hosts that granted less than requested, or did not answer, in the current attempt. */
    Set<HostId> exhausted() {
        return exhausted;
    }

    boolean isQueued() {
        return queued;
    }

    Gathering queued(boolean value) {
        queued = value;
        return this;
    }

    /** Returns when the next attempt starts; 0 while one is in progress. */
    long nextTryAtMillis() {
        return nextTryAtMillis;
    }

    Gathering nextTryAtMillis(long value) {
        nextTryAtMillis = value;
        return this;
    }

    /** Returns the number of retries scheduled so far. */
    int tries() {
        return tries;
    }

    /** Records that a retry is scheduled, so that the charge is part of the pending retries of the workspace. */
    Gathering planned() {
        planned = true;
        tries++;
        return this;
    }

    /** Clears the scheduled retry; returns whether there was one. */
    boolean unplanned() {
        boolean was = planned;
        planned = false;
        return was;
    }

    long heldTokens() {
        return held.stream().mapToLong(Held::tokens).sum();
    }

    long missingTokens() {
        return request.tokens()
                - heldTokens()
                - open.values().stream().mapToLong(Ask::tokens).sum();
    }

    /** Returns whether this request neither holds a grant nor waits for a reply. */
    boolean isIdle() {
        return held.isEmpty() && open.isEmpty();
    }

    boolean isComplete() {
        return heldTokens() >= request.tokens();
    }

    /** Returns when the first of the held grants expires. */
    long usableUntilMillis() {
        return held.stream().mapToLong(Held::usableUntilMillis).min().orElse(Long.MAX_VALUE);
    }
}
