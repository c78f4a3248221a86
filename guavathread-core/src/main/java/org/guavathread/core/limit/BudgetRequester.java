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
    static final long TAKE_TIMEOUT_MILLIS = 50;

    /** Time for which a home host that did not answer is not asked. */
    static final long UNRESPONSIVE_MILLIS = 1000;

    /**
     * How long a request that is not deferrable may wait for refill before it is refused. Absorbs the jitter of callers
     * that send at exactly their rate, and leaves most of the time to first token (310 ms) to the request.
     */
    static final long MAX_ACQUISITION_MILLIS = 100;

    /** Maximum number of deferrable requests of one workspace that wait at this host. */
    static final int MAX_WAITING = 1000;

    /** Initial backoff after an attempt that got too little: a few round trips. */
    private static final long MIN_BACKOFF_MILLIS = 5;

    private static final int RETRY_JITTER_MILLIS = 8;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** Limits the backoff, because levels rise faster than the refill when other hosts return budget. */
    private static final long MAX_BACKOFF_MILLIS = 500;

    private static final int MAX_CHARGES = 100_000;

    private final HostId self;
    private final HomeBudgets ownBudgets;
    private final int maxHomes;
    private final Map<WorkspaceId, HomeHostEstimates> workspaces = new HashMap<>();
    private final Map<RequestId, BudgetAcquisition> acquisitions = new HashMap<>();
    private final WaitingQueues waiting = new WaitingQueues(MAX_WAITING);
    private final TakeTracker takes;
    private final Map<RequestId, Charge> charges = TakeTracker.bounded(MAX_CHARGES);
    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.atMillis, b.atMillis));

    private record Timer(long atMillis, RequestId request) {}

    private record Charge(WorkspaceId workspace, List<BudgetAcquisition.Held> grants) {}

    /**
     * Creates a requester without requests.
     *
     * @param self this host
     * @param instanceId identifies this instance of the budget state, as in {@link HomeBudgets}
     * @param ownBudgets the shares of this host, which are used first and without a message
     */
    public BudgetRequester(HostId self, long instanceId, HomeBudgets ownBudgets) {
        this(self, instanceId, ownBudgets, LimitTerms.MAX_HOMES);
    }

    /**
     * Starts with no request and a given number of home hosts, which must be the same on all hosts.
     *
     * @param self this host
     * @param instanceId identifies this instance of the budget state; never used before by this host
     * @param ownBudgets the shares of this host
     * @param maxHomes maximum number of home hosts of a workspace, from 1 to {@link LimitTerms#MAX_HOMES}
     */
    public BudgetRequester(HostId self, long instanceId, HomeBudgets ownBudgets, int maxHomes) {
        this.self = self;
        this.takes = new TakeTracker(self, instanceId);
        this.ownBudgets = ownBudgets;
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
            HomeHostEstimates previous = workspaces.get(workspace.id());
            workspaces.put(workspace.id(), new HomeHostEstimates(LimitTerms.of(workspace), homes, previous, nowMillis));
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
        EventContext context = EventContext.of(view, nowMillis);
        if (acquisitions.containsKey(request.id()) || charges.containsKey(request.id())) {
            throw new IllegalArgumentException("Request " + request.id()
                    + " is already acquiring or using budget; give each request a unique id.");
        }
        HomeHostEstimates homes = workspaces.get(request.workspace());
        if (homes == null) {
            context.refuse(request, RefusalCode.KEY_UNKNOWN, "is not in the sheet in force; use another API key", 0);
            return context.actions();
        }
        if (request.tokens() > homes.terms().largestRequestTokens()) {
            context.refuse(
                    request, RefusalCode.RATE_LIMITED, "never admits a request of this size; make it smaller", 0);
            return context.actions();
        }
        boolean deferrable = request.kind() == RequestKind.DEFERRABLE;
        long giveUpAt = deferrable ? request.deadlineMillis() : giveUpAtMillis(request, homes.terms(), nowMillis);
        BudgetAcquisition acquisition = new BudgetAcquisition(request, giveUpAt).queued(deferrable);
        if (deferrable && !enqueue(context, acquisition)) {
            return context.actions();
        }
        acquisitions.put(request.id(), acquisition);
        timers.add(new Timer(giveUpAt, request.id()));
        if (!deferrable || waiting.isFirst(acquisition)) {
            startAttempt(context, acquisition);
        }
        return context.actions();
    }

    /** A request larger than the buckets may hold its grants and wait for refill as long as the grants are valid. */
    private static long giveUpAtMillis(BudgetRequest request, LimitTerms terms, long nowMillis) {
        boolean exceedsBuckets = request.tokens() > terms.totalCapacityTokens();
        long wait = exceedsBuckets ? Math.max(MAX_ACQUISITION_MILLIS, terms.validityMillis()) : MAX_ACQUISITION_MILLIS;
        return Math.min(request.deadlineMillis(), nowMillis + wait);
    }

    private boolean enqueue(EventContext context, BudgetAcquisition acquisition) {
        BudgetRequest request = acquisition.request();
        if (!waiting.add(acquisition)) {
            long retryAfter = workspaces.get(request.workspace()).terms().millisToRefill(request.tokens(), 1, 1);
            context.refuse(request, RefusalCode.OVERLOADED, "has a full queue at this host; retry later", retryAfter);
            return false;
        }
        if (!waiting.isFirst(acquisition)) {
            context.keepWaiting(acquisition);
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
        EventContext context = EventContext.of(view, nowMillis);
        BudgetAcquisition acquisition = takes.isOwn(reply.take()) ? takes.acquisitionOf(reply.take()) : null;
        if (acquisition == null) {
            if (takes.isOwn(reply.take())) {
                takes.returnOf(reply).ifPresent(spare -> context.send(from, spare));
            }
            return context.actions();
        }
        if (!acquisition.pendingTakes().get(reply.take().number()).home().equals(from)) {
            return context.actions();
        }
        HomeHostEstimates homes = workspaces.get(acquisition.request().workspace());
        BudgetAcquisition.PendingTake pending = takes.close(acquisition, reply);
        if (homes != null) {
            homes.recordLevel(from, reply.levelTokens(), nowMillis);
        }
        addGrant(acquisition, from, reply, pending.sentAtMillis());
        if (reply.tokens() < pending.tokens()) {
            acquisition.exhausted().add(from);
        }
        advance(context, acquisition);
        return context.actions();
    }

    /**
     * Handles the timers that are due.
     *
     * @param view the current view
     * @param nowMillis the current time
     * @return the actions
     */
    public List<LimitAction> onWake(EpochView view, long nowMillis) {
        EventContext context = EventContext.of(view, nowMillis);
        while (!timers.isEmpty() && timers.peek().atMillis <= nowMillis) {
            BudgetAcquisition acquisition = acquisitions.get(timers.poll().request);
            if (acquisition != null) {
                handleTimer(context, acquisition);
            }
        }
        return context.actions();
    }

    /**
     * Returns the latest time for the next call of {@link #onWake}.
     *
     * @return milliseconds since the epoch; {@link Long#MAX_VALUE} if no timer is set
     */
    public long nextWakeAtMillis() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atMillis;
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
        EventContext context = EventContext.of(view, nowMillis);
        BudgetAcquisition acquisition = acquisitions.get(request);
        if (acquisition != null) {
            returnAll(context, acquisition);
            close(context, acquisition);
        }
        return context.actions();
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
        EventContext context = EventContext.of(view, nowMillis);
        Charge charge = charges.remove(request);
        if (charge == null) {
            return context.actions();
        }
        long remaining = unusedTokens;
        for (BudgetAcquisition.Held held : charge.grants) {
            long part = Math.min(remaining, held.tokens());
            if (part > 0) {
                giveBack(context, charge.workspace, held, part);
                remaining -= part;
            }
        }
        return context.actions();
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

    private void handleTimer(EventContext context, BudgetAcquisition acquisition) {
        long now = context.nowMillis();
        if (now >= acquisition.giveUpAtMillis()) {
            giveUp(context, acquisition);
            return;
        }
        if (acquisition.nextAttemptAtMillis() > 0) {
            if (now >= acquisition.nextAttemptAtMillis()) {
                startAttempt(context, acquisition);
            }
            return;
        }
        HomeHostEstimates homes = workspaces.get(acquisition.request().workspace());
        boolean timedOut = false;
        for (Map.Entry<Long, BudgetAcquisition.PendingTake> entry :
                List.copyOf(acquisition.pendingTakes().entrySet())) {
            BudgetAcquisition.PendingTake pending = entry.getValue();
            if (now - pending.sentAtMillis() >= TAKE_TIMEOUT_MILLIS) {
                takes.abandon(acquisition, entry.getKey());
                acquisition.exhausted().add(pending.home());
                timedOut = true;
                if (homes != null) {
                    homes.markUnresponsive(pending.home(), now + UNRESPONSIVE_MILLIS);
                }
            }
        }
        if (timedOut) {
            advance(context, acquisition);
        }
    }

    private void startAttempt(EventContext context, BudgetAcquisition acquisition) {
        clearRetry(acquisition);
        acquisition.exhausted().clear();
        advance(context, acquisition);
    }

    /** Continues an acquisition as far as possible without a further event. */
    private void advance(EventContext context, BudgetAcquisition acquisition) {
        BudgetRequest request = acquisition.request();
        HomeHostEstimates homes = workspaces.get(request.workspace());
        if (homes == null) {
            returnAll(context, acquisition);
            close(context, acquisition);
            context.refuse(request, RefusalCode.KEY_UNKNOWN, "was removed from the sheet; use another API key", 0);
            return;
        }
        if (context.nowMillis() >= acquisition.usableUntilMillis()) {
            handleShortfall(context, acquisition, homes);
            return;
        }
        boolean insufficient = acquisition.isIdle() && homes.isKnownInsufficient(acquisition, context.nowMillis());
        boolean mayComplete = !insufficient && takeMissing(context, acquisition, homes);
        if (acquisition.isComplete()) {
            admit(context, acquisition);
        } else if (!mayComplete) {
            handleShortfall(context, acquisition, homes);
        }
    }

    /** Takes the missing part from this host's share and asks other hosts; returns false if no host is left to ask. */
    private boolean takeMissing(EventContext context, BudgetAcquisition acquisition, HomeHostEstimates homes) {
        long now = context.nowMillis();
        WorkspaceId workspace = acquisition.request().workspace();
        while (acquisition.missingTokens() > 0) {
            List<HostId> candidates = homes.responsiveHomes(now).stream()
                    .filter(h -> !acquisition.exhausted().contains(h))
                    .toList();
            if (candidates.isEmpty()) {
                return !acquisition.pendingTakes().isEmpty();
            }
            if (candidates.contains(self)) {
                homes.recordLevel(self, ownBudgets.levelTokens(workspace, context.view(), now), now);
            }
            homes.split(acquisition.missingTokens(), candidates, self, now).forEach((home, part) -> {
                if (home.equals(self)) {
                    takeFromOwnShare(context, acquisition, homes, part);
                } else {
                    sendTake(context, acquisition, homes, home, part);
                }
            });
        }
        return true;
    }

    private void takeFromOwnShare(
            EventContext context, BudgetAcquisition acquisition, HomeHostEstimates homes, long tokens) {
        BudgetTake take = new BudgetTake(takes.nextId(), acquisition.request().workspace(), tokens);
        BudgetGrant grant = ownBudgets.take(take, context.view(), context.nowMillis());
        homes.recordLevel(self, grant.levelTokens(), context.nowMillis());
        addGrant(acquisition, self, grant, context.nowMillis());
        if (grant.tokens() < tokens) {
            acquisition.exhausted().add(self);
        }
    }

    private void sendTake(
            EventContext context, BudgetAcquisition acquisition, HomeHostEstimates homes, HostId home, long tokens) {
        homes.adjustLevel(home, -tokens, context.nowMillis());
        TakeId id = takes.register(acquisition, home, tokens, context.nowMillis());
        BudgetTake take = new BudgetTake(id, acquisition.request().workspace(), tokens);
        context.send(home, take);
        timers.add(new Timer(
                context.nowMillis() + TAKE_TIMEOUT_MILLIS, acquisition.request().id()));
    }

    private static void addGrant(BudgetAcquisition acquisition, HostId home, BudgetGrant grant, long sentAtMillis) {
        if (grant.tokens() > 0) {
            long usableUntil = sentAtMillis + grant.validForMillis();
            acquisition.held().add(new BudgetAcquisition.Held(home, grant.grant(), grant.tokens(), usableUntil));
        }
    }

    private void admit(EventContext context, BudgetAcquisition acquisition) {
        BudgetRequest request = acquisition.request();
        if (context.nowMillis() >= request.deadlineMillis()) {
            giveUp(context, acquisition);
            return;
        }
        charges.put(request.id(), new Charge(request.workspace(), List.copyOf(acquisition.held())));
        context.actions().add(new LimitAction.Admit(request.id()));
        close(context, acquisition);
    }

    /** Ends an attempt that got too little, and schedules a retry or refuses the request. */
    private void handleShortfall(EventContext context, BudgetAcquisition acquisition, HomeHostEstimates homes) {
        long now = context.nowMillis();
        long wait = homes.millisUntilFilled(acquisition, now);
        LimitTerms terms = homes.terms();
        boolean exceedsBuckets = acquisition.request().tokens() > terms.totalCapacityTokens();
        if (exceedsBuckets && acquisition.usableUntilMillis() - now >= wait + terms.holdMarginMillis()) {
            scheduleRetry(context, acquisition, wait);
            return;
        }
        returnAll(context, acquisition);
        if (wait <= acquisition.giveUpAtMillis() - now) {
            scheduleRetry(context, acquisition, wait);
        } else if (acquisition.isQueued()) {
            scheduleRetry(context, acquisition, MAX_BACKOFF_MILLIS);
        } else {
            giveUp(context, acquisition);
        }
    }

    private void clearRetry(BudgetAcquisition acquisition) {
        HomeHostEstimates homes = workspaces.get(acquisition.request().workspace());
        if (acquisition.clearRetryScheduled() && homes != null) {
            homes.changePendingRetryTokens(-acquisition.request().tokens());
        }
        acquisition.nextAttemptAtMillis(0);
    }

    private void scheduleRetry(EventContext context, BudgetAcquisition acquisition, long waitMillis) {
        // Without jitter, two hosts that took each other's missing part would retry at the same time again.
        int jitterMillis = Math.floorMod(acquisition.request().id().hashCode(), RETRY_JITTER_MILLIS);
        long backoffMillis =
                (MIN_BACKOFF_MILLIS + jitterMillis) << Math.min(acquisition.retries(), MAX_BACKOFF_DOUBLINGS);
        long wait = Math.max(backoffMillis, Math.min(waitMillis, MAX_BACKOFF_MILLIS));
        acquisition.nextAttemptAtMillis(context.nowMillis() + wait).retryScheduled();
        HomeHostEstimates homes = workspaces.get(acquisition.request().workspace());
        homes.changePendingRetryTokens(acquisition.request().tokens());
        timers.add(new Timer(context.nowMillis() + wait, acquisition.request().id()));
        if (acquisition.isQueued()) {
            context.keepWaiting(acquisition);
        }
    }

    private void giveUp(EventContext context, BudgetAcquisition acquisition) {
        BudgetRequest request = acquisition.request();
        HomeHostEstimates homes = workspaces.get(request.workspace());
        returnAll(context, acquisition);
        long wait = homes == null ? 0 : homes.millisUntilFilled(acquisition, context.nowMillis());
        close(context, acquisition);
        if (acquisition.isQueued()) {
            context.refuse(request, RefusalCode.DEADLINE, "had too little budget until the deadline of the request", 0);
        } else {
            long retryAfter = wait == Long.MAX_VALUE ? 0 : Math.max(1, wait);
            context.refuse(request, RefusalCode.RATE_LIMITED, "used up its rate and burst; retry later", retryAfter);
        }
    }

    private void returnAll(EventContext context, BudgetAcquisition acquisition) {
        WorkspaceId workspace = acquisition.request().workspace();
        for (BudgetAcquisition.Held held : acquisition.held()) {
            giveBack(context, workspace, held, held.tokens());
        }
        acquisition.held().clear();
        List.copyOf(acquisition.pendingTakes().keySet()).forEach(number -> takes.abandon(acquisition, number));
    }

    private void giveBack(EventContext context, WorkspaceId workspace, BudgetAcquisition.Held held, long tokens) {
        BudgetReturn message = new BudgetReturn(workspace, held.grant(), tokens);
        HomeHostEstimates homes = workspaces.get(workspace);
        if (homes != null) {
            homes.adjustLevel(held.home(), tokens, context.nowMillis());
        }
        if (held.home().equals(self)) {
            ownBudgets.giveBack(message, context.view(), context.nowMillis());
        } else {
            context.send(held.home(), message);
        }
    }

    /** Removes an acquisition and schedules the next waiting request of its workspace. */
    private void close(EventContext context, BudgetAcquisition acquisition) {
        BudgetRequest request = acquisition.request();
        acquisitions.remove(request.id());
        clearRetry(acquisition);
        if (acquisition.isQueued()) {
            // The next one is started by a timer; starting it here would recurse once for each waiting request.
            waiting.remove(acquisition).ifPresent(next -> {
                next.nextAttemptAtMillis(Math.max(1, context.nowMillis()));
                timers.add(new Timer(context.nowMillis(), next.request().id()));
            });
        }
    }
}
