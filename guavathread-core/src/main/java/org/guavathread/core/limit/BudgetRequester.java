package org.guavathread.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.Workspace;

/**
 * Acquires the budget of requests from the home hosts of their workspaces. A request is admitted when grants that are
 * all still valid cover its charge. An attempt that gets too little returns its grants immediately, because two hosts
 * that each hold a part would block each other, and is retried when the refill should suffice.
 *
 * <pre>{@code
 * requester.onSheet(sheet, view, now);
 * List<LimitAction> actions = requester.submit(request, view, now);
 * actions = requester.onGrant(from, grant, view, now);
 * actions = requester.onWake(view, now); // not later than requester.nextWakeAtMillis()
 * actions = requester.onEnd(requestId, unusedTokens, view, now);
 * }</pre>
 */
public final class BudgetRequester {

    /** Several round trips within a region; a home host that takes longer is not asked for a while. */
    static final long ASK_TIMEOUT_MILLIS = 50;

    /** Time for which a home host that did not answer is not asked. */
    static final long SILENT_MILLIS = 1000;

    /**
     * How long a request that is not deferrable may wait for refill before it is refused. Absorbs the jitter of callers
     * that send at exactly their rate, and leaves most of the time to first token (310 ms) to the request.
     */
    static final long MAX_GATHER_MILLIS = 100;

    /** Maximum number of deferrable requests of one workspace that wait at this host. */
    static final int MAX_WAITING = 1000;

    /** Initial backoff after an attempt that got too little: a few round trips. */
    private static final long MIN_RETRY_MILLIS = 5;

    private static final int RETRY_SPREAD_MILLIS = 8;
    private static final int MAX_RETRY_DOUBLINGS = 4;

    /** Limits the backoff, because levels rise faster than the refill when other hosts return budget. */
    private static final long MAX_RETRY_MILLIS = 500;

    private static final int MAX_CHARGES = 100_000;

    private final HostId self;
    private final HomeBudgets own;
    private final int maxHomes;
    private final Map<WorkspaceId, WorkspaceHomes> workspaces = new HashMap<>();
    private final Map<RequestId, Gathering> gatherings = new HashMap<>();
    private final WaitingQueues waiting = new WaitingQueues(MAX_WAITING);
    private final AskBook asks;
    private final Map<RequestId, Charge> charges = AskBook.bounded(MAX_CHARGES);
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));

    private record Wake(long atMillis, RequestId request) {}

    private record Charge(WorkspaceId workspace, List<Gathering.Held> grants) {}

    /**
     * Creates a requester without requests.
     *
     * @param self this host
     * @param memoryId identifies this instance of the budget state, as in {@link HomeBudgets}
     * @param own the shares of this host, which are used first and without a message
     */
    public BudgetRequester(HostId self, long memoryId, HomeBudgets own) {
        this(self, memoryId, own, LimitTerms.MAX_HOMES);
    }

    /**
     * Starts with no request and a given number of home hosts, which must be the same on all hosts.
     *
     * @param self this host
     * @param memoryId identifies this instance of the budget state; never used before by this host
     * @param own the shares of this host
     * @param maxHomes maximum number of home hosts of a workspace, from 1 to {@link LimitTerms#MAX_HOMES}
     */
    public BudgetRequester(HostId self, long memoryId, HomeBudgets own, int maxHomes) {
        this.self = self;
        this.asks = new AskBook(self, memoryId);
        this.own = own;
        this.maxHomes = maxHomes;
    }

    /**
     * Applies an accepted sheet. {@link HomeBudgets#onSheet} is called separately.
     *
     * @param sheet the sheet
     * @param view the epoch that belongs to it
     * @param nowMillis the current time
     */
    public void onSheet(Sheet sheet, EpochView view, long nowMillis) {
        workspaces.keySet().retainAll(sheet.workspaces().keySet());
        for (Workspace workspace : sheet.workspaces().values()) {
            List<HostId> homes = HomeHosts.of(workspace, sheet, view.current(), maxHomes);
            WorkspaceHomes before = workspaces.get(workspace.id());
            workspaces.put(workspace.id(), new WorkspaceHomes(LimitTerms.of(workspace), homes, before, nowMillis));
        }
    }

    /**
     * Handles a request.
     *
     * @param request the request
     * @param view the current view
     * @param nowMillis the current time
     * @return the actions; the request is admitted, refused, or decided by a later event
     */
    public List<LimitAction> submit(BudgetRequest request, EpochView view, long nowMillis) {
        Turn turn = Turn.at(view, nowMillis);
        if (gatherings.containsKey(request.id()) || charges.containsKey(request.id())) {
            throw new IllegalArgumentException("Request " + request.id()
                    + " is already acquiring or using budget; give each request a unique id.");
        }
        WorkspaceHomes homes = workspaces.get(request.workspace());
        if (homes == null) {
            turn.refuse(request, RefusalCode.KEY_UNKNOWN, "is not in the sheet in force; use another API key", 0);
            return turn.actions();
        }
        if (request.tokens() > homes.terms().largestRequestTokens()) {
            turn.refuse(request, RefusalCode.RATE_LIMITED, "never admits a request of this size; make it smaller", 0);
            return turn.actions();
        }
        boolean deferrable = request.kind() == RequestKind.DEFERRABLE;
        long giveUpAt = deferrable ? request.deadlineMillis() : giveUpAtMillis(request, homes.terms(), nowMillis);
        Gathering gathering = new Gathering(request, giveUpAt).queued(deferrable);
        if (deferrable && !enqueue(turn, gathering)) {
            return turn.actions();
        }
        gatherings.put(request.id(), gathering);
        wakes.add(new Wake(giveUpAt, request.id()));
        if (!deferrable || waiting.isFirst(gathering)) {
            startTry(turn, gathering);
        }
        return turn.actions();
    }

    /** A request larger than the buckets may hold its grants and wait for refill as long as the grants are valid. */
    private static long giveUpAtMillis(BudgetRequest request, LimitTerms terms, long nowMillis) {
        boolean exceedsBuckets = request.tokens() > terms.totalCapacityTokens();
        long wait = exceedsBuckets ? Math.max(MAX_GATHER_MILLIS, terms.validityMillis()) : MAX_GATHER_MILLIS;
        return Math.min(request.deadlineMillis(), nowMillis + wait);
    }

    private boolean enqueue(Turn turn, Gathering gathering) {
        BudgetRequest request = gathering.request();
        if (!waiting.add(gathering)) {
            long retryAfter = workspaces.get(request.workspace()).terms().millisToRefill(request.tokens(), 1, 1);
            turn.refuse(request, RefusalCode.OVERLOADED, "has a full queue at this host; retry later", retryAfter);
            return false;
        }
        if (!waiting.isFirst(gathering)) {
            turn.keepWaiting(gathering);
        }
        return true;
    }

    /**
     * Handles the reply of a home host.
     *
     * @param from the home host
     * @param reply the reply
     * @param view the current view
     * @param nowMillis the current time, read after the message arrived
     * @return the actions
     */
    public List<LimitAction> onGrant(HostId from, BudgetGrant reply, EpochView view, long nowMillis) {
        Turn turn = Turn.at(view, nowMillis);
        Gathering gathering = asks.isOwn(reply.ask()) ? asks.gatheringOf(reply.ask()) : null;
        if (gathering == null) {
            if (asks.isOwn(reply.ask())) {
                asks.returnOf(reply).ifPresent(spare -> turn.send(from, spare));
            }
            return turn.actions();
        }
        if (!gathering.open().get(reply.ask().number()).home().equals(from)) {
            return turn.actions();
        }
        WorkspaceHomes homes = workspaces.get(gathering.request().workspace());
        Gathering.Ask ask = asks.settle(gathering, reply);
        if (homes != null) {
            homes.noteLevel(from, reply.levelTokens(), nowMillis);
        }
        hold(gathering, from, reply, ask.askedAtMillis());
        if (reply.tokens() < ask.tokens()) {
            gathering.exhausted().add(from);
        }
        advance(turn, gathering);
        return turn.actions();
    }

    /**
     * Handles the timers that are due.
     *
     * @param view the current view
     * @param nowMillis the current time
     * @return the actions
     */
    public List<LimitAction> onWake(EpochView view, long nowMillis) {
        Turn turn = Turn.at(view, nowMillis);
        while (!wakes.isEmpty() && wakes.peek().atMillis <= nowMillis) {
            Gathering gathering = gatherings.get(wakes.poll().request);
            if (gathering != null) {
                wake(turn, gathering);
            }
        }
        return turn.actions();
    }

    /**
     * Returns the latest time for the next call of {@link #onWake}.
     *
     * @return milliseconds since the epoch; {@link Long#MAX_VALUE} if no timer is set
     */
    public long nextWakeAtMillis() {
        return wakes.isEmpty() ? Long.MAX_VALUE : wakes.peek().atMillis;
    }

    /**
     * Cancels the acquisition for a request whose caller disconnected or whose API key was withdrawn.
     *
     * @param request the request; ignored if it is not acquiring budget
     * @param view the current view
     * @param nowMillis the current time
     * @return the actions
     */
    public List<LimitAction> cancel(RequestId request, EpochView view, long nowMillis) {
        Turn turn = Turn.at(view, nowMillis);
        Gathering gathering = gatherings.get(request);
        if (gathering != null) {
            giveBackAll(turn, gathering);
            close(turn, gathering);
        }
        return turn.actions();
    }

    /**
     * Ends an admitted request and returns the unused part of its charge: all of it if the request has not run, the
     * unused output limit otherwise. A home host restores only what could not have overflowed its bucket meanwhile.
     *
     * @param request the request; ignored if unknown
     * @param unusedTokens unused tokens, from 0 to the charge
     * @param view the current view
     * @param nowMillis the current time
     * @return the actions
     */
    public List<LimitAction> onEnd(RequestId request, long unusedTokens, EpochView view, long nowMillis) {
        Turn turn = Turn.at(view, nowMillis);
        Charge charge = charges.remove(request);
        if (charge == null) {
            return turn.actions();
        }
        long rest = unusedTokens;
        for (Gathering.Held held : charge.grants) {
            long part = Math.min(rest, held.tokens());
            if (part > 0) {
                giveBack(turn, charge.workspace, held, part);
                rest -= part;
            }
        }
        return turn.actions();
    }

    /**
     * Returns the number of deferrable requests that wait at this host.
     *
     * @param workspace the workspace
     * @return waiting requests, including the one that acquires budget
     */
    public int waitingRequests(WorkspaceId workspace) {
        return waiting.size(workspace);
    }

    private void wake(Turn turn, Gathering gathering) {
        long now = turn.nowMillis();
        if (now >= gathering.giveUpAtMillis()) {
            giveUp(turn, gathering);
            return;
        }
        if (gathering.nextTryAtMillis() > 0) {
            if (now >= gathering.nextTryAtMillis()) {
                startTry(turn, gathering);
            }
            return;
        }
        WorkspaceHomes homes = workspaces.get(gathering.request().workspace());
        boolean timedOut = false;
        for (Map.Entry<Long, Gathering.Ask> open : List.copyOf(gathering.open().entrySet())) {
            Gathering.Ask ask = open.getValue();
            if (now - ask.askedAtMillis() >= ASK_TIMEOUT_MILLIS) {
                asks.abandon(gathering, open.getKey());
                gathering.exhausted().add(ask.home());
                timedOut = true;
                if (homes != null) {
                    homes.noteSilent(ask.home(), now + SILENT_MILLIS);
                }
            }
        }
        if (timedOut) {
            advance(turn, gathering);
        }
    }

    private void startTry(Turn turn, Gathering gathering) {
        unplan(gathering);
        gathering.exhausted().clear();
        advance(turn, gathering);
    }

    /** Continues an acquisition as far as possible without a further event. */
    private void advance(Turn turn, Gathering gathering) {
        BudgetRequest request = gathering.request();
        WorkspaceHomes homes = workspaces.get(request.workspace());
        if (homes == null) {
            giveBackAll(turn, gathering);
            close(turn, gathering);
            turn.refuse(request, RefusalCode.KEY_UNKNOWN, "was removed from the sheet; use another API key", 0);
            return;
        }
        if (turn.nowMillis() >= gathering.usableUntilMillis()) {
            fallShort(turn, gathering, homes);
            return;
        }
        boolean hopeless = gathering.isIdle() && homes.knowsTooLittleIsThere(gathering, turn.nowMillis());
        boolean mayComplete = !hopeless && ask(turn, gathering, homes);
        if (gathering.isComplete()) {
            admit(turn, gathering);
        } else if (!mayComplete) {
            fallShort(turn, gathering, homes);
        }
    }

    /** Takes the missing part from this host's share and asks other hosts; returns false if no host is left to ask. */
    private boolean ask(Turn turn, Gathering gathering, WorkspaceHomes homes) {
        long now = turn.nowMillis();
        WorkspaceId workspace = gathering.request().workspace();
        while (gathering.missingTokens() > 0) {
            List<HostId> candidates = homes.answeringHomes(now).stream()
                    .filter(h -> !gathering.exhausted().contains(h))
                    .toList();
            if (candidates.isEmpty()) {
                return !gathering.open().isEmpty();
            }
            if (candidates.contains(self)) {
                homes.noteLevel(self, own.levelTokens(workspace, turn.view(), now), now);
            }
            homes.split(gathering.missingTokens(), candidates, self, now).forEach((home, part) -> {
                if (home.equals(self)) {
                    takeOwn(turn, gathering, homes, part);
                } else {
                    askOther(turn, gathering, homes, home, part);
                }
            });
        }
        return true;
    }

    private void takeOwn(Turn turn, Gathering gathering, WorkspaceHomes homes, long tokens) {
        BudgetTake take = new BudgetTake(asks.next(), gathering.request().workspace(), tokens);
        BudgetGrant grant = own.take(take, turn.view(), turn.nowMillis());
        homes.noteLevel(self, grant.levelTokens(), turn.nowMillis());
        hold(gathering, self, grant, turn.nowMillis());
        if (grant.tokens() < tokens) {
            gathering.exhausted().add(self);
        }
    }

    private void askOther(Turn turn, Gathering gathering, WorkspaceHomes homes, HostId home, long tokens) {
        homes.noteChange(home, -tokens, turn.nowMillis());
        AskId ask = asks.open(gathering, home, tokens, turn.nowMillis());
        BudgetTake take = new BudgetTake(ask, gathering.request().workspace(), tokens);
        turn.send(home, take);
        wakes.add(new Wake(
                turn.nowMillis() + ASK_TIMEOUT_MILLIS, gathering.request().id()));
    }

    private static void hold(Gathering gathering, HostId home, BudgetGrant grant, long askedAtMillis) {
        if (grant.tokens() > 0) {
            long usableUntil = askedAtMillis + grant.validForMillis();
            gathering.held().add(new Gathering.Held(home, grant.grant(), grant.tokens(), usableUntil));
        }
    }

    private void admit(Turn turn, Gathering gathering) {
        BudgetRequest request = gathering.request();
        if (turn.nowMillis() >= request.deadlineMillis()) {
            giveUp(turn, gathering);
            return;
        }
        charges.put(request.id(), new Charge(request.workspace(), List.copyOf(gathering.held())));
        turn.actions().add(new LimitAction.Admit(request.id()));
        close(turn, gathering);
    }

    /** Ends an attempt that got too little, and schedules a retry or refuses the request. */
    private void fallShort(Turn turn, Gathering gathering, WorkspaceHomes homes) {
        long now = turn.nowMillis();
        long wait = homes.millisUntilFilled(gathering, now);
        LimitTerms terms = homes.terms();
        boolean exceedsBuckets = gathering.request().tokens() > terms.totalCapacityTokens();
        if (exceedsBuckets && gathering.usableUntilMillis() - now >= wait + terms.holdMarginMillis()) {
            planTry(turn, gathering, wait);
            return;
        }
        giveBackAll(turn, gathering);
        if (wait <= gathering.giveUpAtMillis() - now) {
            planTry(turn, gathering, wait);
        } else if (gathering.isQueued()) {
            planTry(turn, gathering, MAX_RETRY_MILLIS);
        } else {
            giveUp(turn, gathering);
        }
    }

    private void unplan(Gathering gathering) {
        WorkspaceHomes homes = workspaces.get(gathering.request().workspace());
        if (gathering.unplanned() && homes != null) {
            homes.changePlanned(-gathering.request().tokens());
        }
        gathering.nextTryAtMillis(0);
    }

    private void planTry(Turn turn, Gathering gathering, long waitMillis) {
        // Without jitter, two hosts that took each other's missing part would retry at the same time again.
        int spread = Math.floorMod(gathering.request().id().hashCode(), RETRY_SPREAD_MILLIS);
        long pause = (MIN_RETRY_MILLIS + spread) << Math.min(gathering.tries(), MAX_RETRY_DOUBLINGS);
        long wait = Math.max(pause, Math.min(waitMillis, MAX_RETRY_MILLIS));
        gathering.nextTryAtMillis(turn.nowMillis() + wait).planned();
        WorkspaceHomes homes = workspaces.get(gathering.request().workspace());
        homes.changePlanned(gathering.request().tokens());
        wakes.add(new Wake(turn.nowMillis() + wait, gathering.request().id()));
        if (gathering.isQueued()) {
            turn.keepWaiting(gathering);
        }
    }

    private void giveUp(Turn turn, Gathering gathering) {
        BudgetRequest request = gathering.request();
        WorkspaceHomes homes = workspaces.get(request.workspace());
        giveBackAll(turn, gathering);
        long wait = homes == null ? 0 : homes.millisUntilFilled(gathering, turn.nowMillis());
        close(turn, gathering);
        if (gathering.isQueued()) {
            turn.refuse(request, RefusalCode.DEADLINE, "had too little budget until the deadline of the request", 0);
        } else {
            long retryAfter = wait == Long.MAX_VALUE ? 0 : Math.max(1, wait);
            turn.refuse(request, RefusalCode.RATE_LIMITED, "used up its rate and burst; retry later", retryAfter);
        }
    }

    private void giveBackAll(Turn turn, Gathering gathering) {
        WorkspaceId workspace = gathering.request().workspace();
        for (Gathering.Held held : gathering.held()) {
            giveBack(turn, workspace, held, held.tokens());
        }
        gathering.held().clear();
        List.copyOf(gathering.open().keySet()).forEach(number -> asks.abandon(gathering, number));
    }

    private void giveBack(Turn turn, WorkspaceId workspace, Gathering.Held held, long tokens) {
        BudgetReturn message = new BudgetReturn(workspace, held.grant(), tokens);
        WorkspaceHomes homes = workspaces.get(workspace);
        if (homes != null) {
            homes.noteChange(held.home(), tokens, turn.nowMillis());
        }
        if (held.home().equals(self)) {
            own.giveBack(message, turn.view(), turn.nowMillis());
        } else {
            turn.send(held.home(), message);
        }
    }

    /** Removes an acquisition and schedules the next waiting request of its workspace. */
    private void close(Turn turn, Gathering gathering) {
        BudgetRequest request = gathering.request();
        gatherings.remove(request.id());
        unplan(gathering);
        if (gathering.isQueued()) {
            // The next one is started by a timer; starting it here would recurse once for each waiting request.
            waiting.remove(gathering).ifPresent(next -> {
                next.nextTryAtMillis(Math.max(1, turn.nowMillis()));
                wakes.add(new Wake(turn.nowMillis(), next.request().id()));
            });
        }
    }
}
