package org.guavathread.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.HostId;

/** The state of one request whose budget is being gathered. */
final class Gathering {

    /** A grant in the hands of this host. */
    record Held(HostId home, GrantId grant, long tokens, long usableUntilMillis) {}

    /** An ask that was not answered yet. */
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

    /** Home hosts that gave all they had, or no answer, in the present try. */
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

    /** When the next try starts; 0 while one is under way. */
    long nextTryAtMillis() {
        return nextTryAtMillis;
    }

    Gathering nextTryAtMillis(long value) {
        nextTryAtMillis = value;
        return this;
    }

    /** How often a further try was planned. */
    int tries() {
        return tries;
    }

    /** Notes that the charge counts as planned at the workspace. */
    Gathering planned() {
        planned = true;
        tries++;
        return this;
    }

    /** Tells whether the charge counted as planned, and ends that. */
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

    /** Tells whether it neither holds a grant nor waits for one. */
    boolean isIdle() {
        return held.isEmpty() && open.isEmpty();
    }

    boolean isComplete() {
        return heldTokens() >= request.tokens();
    }

    /** When the first of the held grants expires. */
    long usableUntilMillis() {
        return held.stream().mapToLong(Held::usableUntilMillis).min().orElse(Long.MAX_VALUE);
    }
}
