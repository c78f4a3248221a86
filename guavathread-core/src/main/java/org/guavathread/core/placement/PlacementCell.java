package org.guavathread.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.request.Refusal;

/**
 * State machine of one cell, run by its owner: the queue, the engines and the reservations. Each event method returns
 * the actions that the caller must carry out.
 *
 * <pre>{@code
 * PlacementCell cell = new PlacementCell(PlacementSettings.DEFAULTS);
 * cell.engineAdded(EngineSpec.of(server), now);
 * for (PlacementAction action : cell.requestArrived(request, now)) { ... }
 * }</pre>
 *
 * <p>An engine gets no work before its first load report, because a new owner does not know its memory use.
 */
public final class PlacementCell {

    private final PlacementSettings settings;
    private final PrefixIndex prefixes = new PrefixIndex();
    private final OutputEstimator outputs = new OutputEstimator();
    private final EndedRequests ended = new EndedRequests();
    private final EnginePool engines;
    private final FairQueue queue;
    private final WorkspaceMemoryUse memoryUse = new WorkspaceMemoryUse();
    private final Map<RequestId, Reservation> reservations = new LinkedHashMap<>();
    private final ExpiryQueue expiries = new ExpiryQueue();
    private final GrantIntervalAverage grantInterval = new GrantIntervalAverage();

    /**
     * Creates a cell without engines.
     *
     * @param settings its settings
     */
    public PlacementCell(PlacementSettings settings) {
        this.settings = settings;
        engines = new EnginePool(settings, prefixes);
        queue = new FairQueue(settings);
    }

    /**
     * Sets the fair shares of the workspaces by their rates in the sheet. Only the ratios matter.
     *
     * @param rates rate of each workspace
     */
    public void workspaceRates(Map<WorkspaceId, Integer> rates) {
        queue.weights(rates);
    }

    /**
     * Handles a request. A repeated message for a queued request is ignored; one for a request that holds a reservation
     * is answered with the same grant.
     *
     * @param request the request
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> requestArrived(PlaceRequest request, long nowMillis) {
        List<PlacementAction> actions = new ArrayList<>();
        Reservation held = reservations.get(request.request());
        if (held != null && held.prefill() != null) {
            actions.add(grantReply(held));
            return actions;
        }
        if (held != null || queue.contains(request.request())) {
            return actions;
        }
        ended.remove(request.request());
        admit(request, nowMillis, actions);
        return dispatch(nowMillis, actions);
    }

    /**
     * Handles the release of a queued request or of a reservation.
     *
     * @param release the release
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> released(PlaceRelease release, long nowMillis) {
        List<PlacementAction> actions = new ArrayList<>();
        if (queue.remove(release.request()) == null) {
            Reservation reservation = reservations.get(release.request());
            if (reservation != null) {
                applyEnding(reservation, release, nowMillis);
                end(reservation, nowMillis);
            }
        }
        return dispatch(nowMillis, actions);
    }

    /**
     * Handles the successful end of a prefill.
     *
     * @param done the message
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> prefillEnded(PlacePrefillDone done, long nowMillis) {
        Reservation reservation = reservations.get(done.request());
        PrefillBacklog backlog =
                reservation == null || reservation.prefill() == null ? null : engines.prefill(reservation.prefill());
        if (backlog != null) {
            backlog.end(done.request(), nowMillis);
            backlog.learn(reservation.promptTokens() - done.cachedTokens(), done.serviceMillis());
            prefixes.confirm(backlog.spec().id(), reservation.prefixHashes());
            reservation.prefillEnded();
        }
        return dispatch(nowMillis, new ArrayList<>());
    }

    /**
     * Handles the renewals of one host. An unknown request was granted by an earlier owner and joins the ledger; a
     * request whose reservation has ended is cancelled on its engine.
     *
     * @param renew the renewals
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> renewed(PlaceRenew renew, long nowMillis) {
        List<PlacementAction> actions = new ArrayList<>();
        expireReservations(nowMillis, actions);
        for (PlaceRenew.Running running : renew.running()) {
            Reservation reservation = reservations.get(running.request());
            DecodeLedger ledger = engines.decode(running.decode());
            if (reservation != null && !reservation.decode().equals(running.decode())) {
                continue;
            }
            if (ledger == null || ended.contains(running.request())) {
                actions.add(new PlacementAction.CancelEngineRequest(running.decode(), running.request()));
            } else if (reservation == null) {
                adopt(renew.host(), running, ledger, nowMillis);
            } else {
                reservation.deadline(nowMillis + settings.reservationMillis());
                int needed = running.neededPieces(settings.tokensPerPiece());
                if (needed > reservation.pieces()) {
                    ledger.grow(reservation, needed);
                }
            }
        }
        return dispatch(nowMillis, actions);
    }

    /**
     * Handles a load report; reports that are not newer than the last one of the engine are ignored.
     *
     * @param report the report
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> loadReported(LoadReport report, long nowMillis) {
        EngineState engine = engines.get(report.engine());
        if (engine != null) {
            engine.reported(report);
        }
        return dispatch(nowMillis, new ArrayList<>());
    }

    /**
     * Handles a change of an engine's prefix cache.
     *
     * @param event the change
     */
    public void cacheChanged(CacheEvent event) {
        if (engines.prefill(event.engine()) != null) {
            prefixes.apply(event);
        }
    }

    /**
     * Adds an engine, or returns a leaving engine to service.
     *
     * @param spec the engine
     * @param nowMillis the current time
     * @return the actions
     * @throws IllegalArgumentException if the backend server is a plain service
     */
    public List<PlacementAction> engineAdded(EngineSpec spec, long nowMillis) {
        engines.add(spec);
        return dispatch(nowMillis, new ArrayList<>());
    }

    /**
     * Stops sending new work to an engine; running requests continue.
     *
     * @param engine the engine
     */
    public void engineLeaving(BackendServerId engine) {
        EngineState state = engines.get(engine);
        if (state != null) {
            state.leave();
        }
    }

    /**
     * Stops sending new work to an engine that closed a connection early or stopped responding, until a later load
     * report arrives.
     *
     * @param engine the engine
     * @param nowMillis the current time
     */
    public void engineFailed(BackendServerId engine, long nowMillis) {
        EngineState state = engines.get(engine);
        if (state != null) {
            state.fail(nowMillis);
            prefixes.forget(engine);
        }
    }

    /**
     * Removes an engine and cancels the requests that still decode on it.
     *
     * @param engine the engine
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> engineRemoved(BackendServerId engine, long nowMillis) {
        List<PlacementAction> actions = new ArrayList<>();
        for (Reservation reservation : List.copyOf(reservations.values())) {
            if (reservation.decode().equals(engine)) {
                cancel(reservation, nowMillis, actions);
            }
        }
        engines.remove(engine);
        prefixes.forget(engine);
        return dispatch(nowMillis, actions);
    }

    /**
     * Removes the requests of a host that has been suspect for 5 s and cancels them on the engines.
     *
     * @param host the host
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> hostLost(HostId host, long nowMillis) {
        List<PlacementAction> actions = new ArrayList<>();
        queue.requestsOf(host).forEach(queue::remove);
        for (Reservation reservation : List.copyOf(reservations.values())) {
            if (reservation.host().equals(host)) {
                cancel(reservation, nowMillis, actions);
            }
        }
        return dispatch(nowMillis, actions);
    }

    /**
     * Handles what has become due: refusals, expired reservations and grants for prefill engines that became free.
     *
     * @param nowMillis the current time
     * @return the actions
     */
    public List<PlacementAction> timer(long nowMillis) {
        return dispatch(nowMillis, new ArrayList<>());
    }

    /**
     * Estimates the wait of a new request of an average workspace; used to choose among cells.
     *
     * @return milliseconds
     */
    public long estimatedWaitMillis() {
        return grantInterval.estimateWaitMillis(queue.size() - queue.size(FairQueue.Band.LATE));
    }

    /**
     * Returns the length of the queue.
     *
     * @return requests that were neither granted nor refused
     */
    public int queuedRequests() {
        return queue.size();
    }

    /**
     * Returns the number of open reservations.
     *
     * @return reservations that have neither ended nor expired
     */
    public int openReservations() {
        return reservations.size();
    }

    /**
     * Returns how much memory of a decode engine is reserved.
     *
     * @param engine the engine
     * @return pieces, 0 for an unknown engine
     */
    public int reservedPieces(BackendServerId engine) {
        DecodeLedger ledger = engines.decode(engine);
        return ledger == null ? 0 : ledger.reservedPieces();
    }

    private void admit(PlaceRequest request, long nowMillis, List<PlacementAction> actions) {
        int expected = outputs.expectedTokens(request.workspace(), request.kind(), request.maxOutputTokens());
        int pieces = settings.piecesFor(request.promptTokens() + expected);
        if (!engines.fitsAnyEngine(pieces)) {
            refuse(request, PlacementRefusals.tooLarge(pieces), actions);
            return;
        }
        if (queue.sizeOf(request.workspace()) >= settings.maxQueuedPerWorkspace()) {
            refuse(request, PlacementRefusals.queueFull(request.workspace(), estimatedWaitMillis()), actions);
            return;
        }
        long service = engines.serviceMillis(request.promptTokens());
        boolean deferrable = request.kind().priorityClass() > 0;
        long refuseAt = deferrable
                ? request.deadlineMillis()
                : request.deadlineMillis()
                        - service
                        - (long) settings.millisPerToken() * outputs.expectedTokensIfSampled(request);
        if (!deferrable && nowMillis + fastWaitMillis() > refuseAt) {
            refuse(request, PlacementRefusals.tooLate(estimatedWaitMillis()), actions);
            return;
        }
        long lateAt = request.targetAtMillis() - service - settings.targetMarginMillis();
        queue.add(new FairQueue.Item(request, expected, pieces, lateAt, refuseAt));
        if (queue.size() > settings.maxQueued()) {
            FairQueue.Item dropped = queue.newestOfLongest();
            queue.remove(dropped.request().request());
            refuse(
                    dropped.request(),
                    PlacementRefusals.queueFull(dropped.request().workspace(), estimatedWaitMillis()),
                    actions);
        }
    }

    private long fastWaitMillis() {
        return grantInterval.estimateWaitMillis(queue.size(FairQueue.Band.FAST));
    }

    private List<PlacementAction> dispatch(long nowMillis, List<PlacementAction> actions) {
        expireReservations(nowMillis, actions);
        refuseOverdue(nowMillis, actions);
        grantWhatFits(nowMillis, actions);
        if (queue.size() > 0) {
            grantInterval.markWaiting();
        }
        addWake(nowMillis, actions);
        return actions;
    }

    private void grantWhatFits(long nowMillis, List<PlacementAction> actions) {
        Set<WorkspaceId> blocked = new HashSet<>();
        Set<DecodeLedger> heldBack = new HashSet<>();
        FairQueue.Item next = queue.peek(nowMillis);
        while (next != null && engines.prefillAvailable(nowMillis)) {
            boolean needsHeadroom =
                    next.isLate() || memoryUse.farAboveShare(next, engines.usableMemory(nowMillis), queue);
            EnginePool.Choice choice = engines.choose(next, needsHeadroom, heldBack, nowMillis);
            if (choice == null) {
                blocked.add(next.request().workspace());
            } else {
                grant(next, choice, nowMillis, actions);
            }
            next = queue.peek(nowMillis, blocked);
        }
    }

    private void grant(FairQueue.Item item, EnginePool.Choice choice, long nowMillis, List<PlacementAction> actions) {
        PlaceRequest request = item.request();
        BackendServerId prefill = choice.prefill().spec().id();
        Reservation reservation = new Reservation(
                        request.request(),
                        request.host(),
                        request.workspace(),
                        choice.decode().spec().id(),
                        item.pieces(),
                        nowMillis)
                .granted(item, prefill)
                .deadline(nowMillis + settings.reservationMillis());
        queue.take(item);
        addReservation(reservation);
        choice.decode().reserve(reservation);
        choice.prefill().start(request.request(), choice.uncachedTokens(), nowMillis);
        choice.decode().linkBusyUntilMillis(choice.transferEndMillis());
        choice.prefill().linkBusyUntilMillis(choice.transferEndMillis());
        grantInterval.granted(nowMillis);
        actions.add(grantReply(reservation));
    }

    private void addReservation(Reservation reservation) {
        reservations.put(reservation.request(), reservation);
        expiries.add(reservation);
        memoryUse.add(reservation.workspace(), reservation.grantedPieces());
    }

    private PlacementAction grantReply(Reservation held) {
        Grant grant = new Grant(held.prefill(), held.decode(), held.pieces(), held.deadlineMillis());
        return new PlacementAction.Reply(held.host(), PlaceReply.granted(held.request(), grant, estimatedWaitMillis()));
    }

    private void adopt(HostId host, PlaceRenew.Running running, DecodeLedger ledger, long nowMillis) {
        Reservation reservation = new Reservation(
                        running.request(),
                        host,
                        running.workspace(),
                        running.decode(),
                        running.neededPieces(settings.tokensPerPiece()),
                        nowMillis)
                .deadline(nowMillis + settings.reservationMillis());
        queue.remove(running.request());
        addReservation(reservation);
        ledger.adopt(reservation);
    }

    private void applyEnding(Reservation reservation, PlaceRelease release, long nowMillis) {
        switch (release.ending()) {
            case FINISHED -> learnOutput(reservation, release.outputTokens());
            case DECODE_FULL -> {
                DecodeLedger ledger = engines.decode(reservation.decode());
                if (ledger != null) {
                    ledger.refused(reservation.pieces());
                }
            }
            case DECODE_FAILED -> engineFailed(reservation.decode(), nowMillis);
            case PREFILL_FAILED -> {
                if (reservation.prefill() != null) {
                    engineFailed(reservation.prefill(), nowMillis);
                }
            }
            default -> {
                // A cancellation gives no information about engines or output lengths.
            }
        }
    }

    private void learnOutput(Reservation reservation, int outputTokens) {
        if (reservation.kind() != null) {
            outputs.record(reservation.workspace(), reservation.kind(), outputTokens);
            queue.correct(reservation.workspace(), outputTokens - reservation.expectedOutput());
        }
    }

    private void expireReservations(long nowMillis, List<PlacementAction> actions) {
        Reservation expired = expiries.pollExpired(reservations, nowMillis);
        while (expired != null) {
            cancel(expired, nowMillis, actions);
            expired = expiries.pollExpired(reservations, nowMillis);
        }
    }

    private void cancel(Reservation reservation, long nowMillis, List<PlacementAction> actions) {
        if (reservation.prefill() != null) {
            actions.add(new PlacementAction.CancelEngineRequest(reservation.prefill(), reservation.request()));
        }
        actions.add(new PlacementAction.CancelEngineRequest(reservation.decode(), reservation.request()));
        end(reservation, nowMillis);
    }

    private void end(Reservation reservation, long nowMillis) {
        reservations.remove(reservation.request());
        memoryUse.add(reservation.workspace(), -reservation.grantedPieces());
        ended.add(reservation.request(), nowMillis);
        DecodeLedger ledger = engines.decode(reservation.decode());
        if (ledger != null) {
            ledger.release(reservation, nowMillis);
        }
        PrefillBacklog backlog = reservation.prefill() == null ? null : engines.prefill(reservation.prefill());
        if (backlog != null) {
            backlog.end(reservation.request(), nowMillis);
        }
    }

    private void refuseOverdue(long nowMillis, List<PlacementAction> actions) {
        FairQueue.Item first = queue.firstToRefuse();
        while (first != null && first.refuseAtMillis() <= nowMillis) {
            PlaceRequest request = first.request();
            queue.remove(request.request());
            refuse(request, PlacementRefusals.overdue(request.kind(), estimatedWaitMillis()), actions);
            first = queue.firstToRefuse();
        }
    }

    private void refuse(PlaceRequest request, Refusal refusal, List<PlacementAction> actions) {
        actions.add(new PlacementAction.Reply(
                request.host(), PlaceReply.refused(request.request(), refusal, estimatedWaitMillis())));
    }

    private void addWake(long nowMillis, List<PlacementAction> actions) {
        long at = expiries.nextAtMillis();
        FairQueue.Item first = queue.firstToRefuse();
        if (first != null) {
            at = Math.min(at, Math.min(first.refuseAtMillis(), engines.nextPrefillAtMillis(nowMillis)));
        }
        if (at != Long.MAX_VALUE) {
            actions.add(new PlacementAction.WakeAt(Math.max(at, nowMillis + 1)));
        }
    }
}
