package org.guavathread.router.service;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.orphan.ReservationTable;
import org.guavathread.core.placement.Cell;
import org.guavathread.core.placement.CellId;
import org.guavathread.core.placement.CellSelector;
import org.guavathread.core.placement.Grant;
import org.guavathread.core.placement.PlacePrefillDone;
import org.guavathread.core.placement.PlaceRelease;
import org.guavathread.core.placement.PlaceRenew;
import org.guavathread.core.placement.PlaceReply;
import org.guavathread.core.placement.PlaceRequest;
import org.guavathread.core.placement.PrefixHash;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.sheet.DataCentre;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.fleet.FleetSnapshot;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.flow.RefusedException;
import org.guavathread.router.metrics.RouterMetrics;
import org.guavathread.router.peer.PeerNetwork;
import org.guavathread.router.supervisor.Duty;
import org.guavathread.router.supervisor.InboxFullException;
import org.guavathread.router.supervisor.Supervisor;

/**
 * Duty {@code placement}: requests engines from cell owners, and places requests in the cells that this host owns.
 *
 * <pre>{@code
 * placement.place(requirements).thenAccept(grant -> prefill(grant));
 * placement.release(requestId, PlaceRelease.Ending.FINISHED, tokens);
 * }</pre>
 */
public final class PlacementService {

    private static final long TICK_MILLIS = 100;
    private static final long RESEND_MILLIS = 500;
    private static final long RENEW_MILLIS = 1_000;
    private static final long FLEET_UPDATE_MILLIS = 500;

    private final HostId self;
    private final Incarnation incarnation;
    private final DataCentreId dataCentre;
    private final FleetState fleet;
    private final PeerNetwork network;
    private final Clock clock;
    private final EngineMonitor monitor;
    private final Duty<State> duty;
    private volatile int queuedRequests;
    private volatile int openReservations;

    /**
     * Requirements of a request whose cell is not chosen yet.
     *
     * @param request the request
     * @param model the model
     * @param workspace the workspace that is charged
     * @param kind the kind of the request
     * @param promptTokens length of the prompt in tokens
     * @param maxOutputTokens maximum output in tokens
     * @param prefixHashes hashes of the leading blocks of the prompt, shortest first
     * @param targetAtMillis when the first token must be sent to meet the latency target
     * @param deadlineMillis when the whole answer is due
     */
    public record Requirements(
            RequestId request,
            ModelId model,
            WorkspaceId workspace,
            RequestKind kind,
            int promptTokens,
            int maxOutputTokens,
            List<PrefixHash> prefixHashes,
            long targetAtMillis,
            long deadlineMillis) {}

    private static final class PendingPlacement {
        private final PlaceRequest request;
        private final CompletableFuture<Grant> grant;
        private long resendAtMillis;

        PendingPlacement(PlaceRequest request, CompletableFuture<Grant> grant) {
            this.request = request;
            this.grant = grant;
        }
    }

    /** State of the duty. */
    final class State {
        private final CellOwner owner = new CellOwner(this::reply, monitor::cancel);
        private final ReservationTable reservations = new ReservationTable(self, incarnation);
        private final CellSelector selector = new CellSelector();
        private final Map<RequestId, PendingPlacement> waiting = new HashMap<>();
        private final Map<RequestId, CellId> cellsByRequest = new HashMap<>();
        private final Map<ModelId, List<CellId>> cellsByModel = new HashMap<>();
        private final List<Cell> allCells = new ArrayList<>();
        private Sheet cellsOfSheet;
        private long updateAtMillis;
        private long renewAtMillis;

        CellOwner owner() {
            return owner;
        }

        ReservationTable reservations() {
            return reservations;
        }

        private void reply(HostId to, PlaceReply reply) {
            if (to.equals(self)) {
                replied(this, reply);
            } else {
                network.send(to, reply);
            }
        }
    }

    /**
     * Builds the duty and adds it to a supervisor.
     *
     * @param self this host
     * @param incarnation identifies the run of this process
     * @param dataCentre data centre of this host
     * @param fleet the current view of the fleet
     * @param network sends messages to other hosts
     * @param backends the adapters of engines
     * @param metrics counts cancelled requests
     * @param supervisor the supervisor
     * @param clock source of the time
     */
    public PlacementService(
            HostId self,
            Incarnation incarnation,
            DataCentreId dataCentre,
            FleetState fleet,
            PeerNetwork network,
            BackendRegistry backends,
            RouterMetrics metrics,
            Supervisor supervisor,
            Clock clock) {
        this.self = self;
        this.incarnation = incarnation;
        this.dataCentre = dataCentre;
        this.fleet = fleet;
        this.network = network;
        this.clock = clock;
        this.monitor = new EngineMonitor(self, incarnation, backends, metrics, clock, this::onDuty);
        this.duty = supervisor.add(new Duty<>("placement", State::new, supervisor, clock)
                .every(TICK_MILLIS, this::tick)
                .wakingAt(state -> state.owner.nextWakeAtMillis()));
        fleet.onSheet(() -> duty.offer(state -> state.updateAtMillis = 0));
    }

    /**
     * Registers the messages of this duty.
     *
     * @param router dispatches received messages
     */
    public void register(PeerRouter router) {
        router.on(PlaceRequest.class, (from, m, r) -> duty.offer(s -> s.owner.requestArrived(m, clock.nowMillis())));
        router.on(PlaceRelease.class, (from, m, r) -> duty.offer(s -> s.owner.released(m, clock.nowMillis())));
        router.on(PlacePrefillDone.class, (from, m, r) -> duty.offer(s -> s.owner.prefillEnded(m, clock.nowMillis())));
        router.on(PlaceRenew.class, (from, m, r) -> duty.offer(s -> s.owner.renewed(m, clock.nowMillis())));
        router.on(PlaceReply.class, (from, m, r) -> duty.offer(s -> replied(s, m)));
    }

    /**
     * Requests a prefill engine, a decode engine and a reservation of decode memory.
     *
     * @param requirements the request and what it needs
     * @return the grant; fails with {@link RefusedException} or {@link InboxFullException}
     */
    public CompletableFuture<Grant> place(Requirements requirements) {
        CompletableFuture<Grant> grant = new CompletableFuture<>();
        if (!duty.offer(state -> place(state, requirements, grant))) {
            grant.completeExceptionally(new InboxFullException("placement", Duty.INBOX_CAPACITY));
        }
        return grant;
    }

    /**
     * Reports the end of a prefill.
     *
     * @param request the request
     * @param cachedTokens prompt tokens found in the prefix cache
     * @param serviceMillis duration of the prefill call, in milliseconds
     */
    public void prefillDone(RequestId request, int cachedTokens, int serviceMillis) {
        duty.offer(state -> sendToOwner(
                state, state.cellsByRequest.get(request), new PlacePrefillDone(request, cachedTokens, serviceMillis)));
    }

    /**
     * Reports that the KV cache has left the prefill engine.
     *
     * @param request the request
     */
    public void imported(RequestId request) {
        duty.offer(state -> state.reservations.prefillEnded(request));
    }

    /**
     * Reports the progress of a stream, for the renewal of its reservation.
     *
     * @param request the request
     * @param outputTokens tokens generated under the current grant
     */
    public void progressed(RequestId request, int outputTokens) {
        duty.offer(state -> state.reservations.progressed(request, outputTokens));
    }

    /**
     * Releases a queued request or a reservation.
     *
     * @param request the request
     * @param ending how it ended
     * @param outputTokens how many tokens were generated
     */
    public void release(RequestId request, PlaceRelease.Ending ending, int outputTokens) {
        duty.offer(state -> {
            state.waiting.remove(request);
            state.reservations.ended(request);
            CellId cell = state.cellsByRequest.remove(request);
            sendToOwner(state, cell, new PlaceRelease(request, ending, outputTokens));
        });
    }

    /**
     * Cancels a request on an engine, without waiting for the result.
     *
     * @param engine the engine
     * @param request the request
     */
    public void cancelOnEngine(BackendServerId engine, RequestId request) {
        monitor.cancel(engine, request);
    }

    /**
     * Reads statistics of the duty for the admin pages.
     *
     * @return the statistics
     */
    public CompletableFuture<Figures> figures() {
        return duty.ask(state -> new Figures(
                state.owner.cellCount(),
                state.owner.queuedRequests(),
                state.owner.openReservations(),
                state.reservations.size(),
                state.waiting.size(),
                monitor.rows(state)));
    }

    /**
     * Statistics of this duty.
     *
     * @param ownedCells cells owned by this host
     * @param queued requests queued in these cells
     * @param reservations reservations in these cells
     * @param ownReservations reservations of this host's requests, in any cell
     * @param pending requests of this host that wait for a grant
     * @param engines engines of owned cells
     */
    public record Figures(
            int ownedCells,
            int queued,
            int reservations,
            int ownReservations,
            int pending,
            List<EngineMonitor.Row> engines) {}

    /**
     * Gives the number of tasks that wait in the inbox of this duty.
     *
     * @return the number of tasks
     */
    public int backlog() {
        return duty.backlog();
    }

    /**
     * Gives the number of requests queued in the cells of this host at the last tick.
     *
     * @return the number of requests, of any host
     */
    public int queuedRequests() {
        return queuedRequests;
    }

    /**
     * Gives the number of reservations in the cells of this host at the last tick.
     *
     * @return the number of reservations, of any host
     */
    public int openReservations() {
        return openReservations;
    }

    private boolean onDuty(Consumer<State> task) {
        return duty.offer(task);
    }

    private void place(State state, Requirements requirements, CompletableFuture<Grant> grant) {
        updateCells(state);
        List<CellId> cells = state.cellsByModel.getOrDefault(requirements.model(), List.of());
        if (cells.isEmpty()) {
            grant.completeExceptionally(new RefusedException(Refusal.notRun(
                    RefusalCode.NO_ROOM,
                    "No engine in the sheet serves model " + requirements.model() + "; add one.")));
            return;
        }
        CellId cell = state.selector.choose(
                cells, requirements.request().value(), requirements.prefixHashes(), clock.nowMillis());
        PendingPlacement entry = new PendingPlacement(placeRequest(requirements, cell), grant);
        state.waiting.put(requirements.request(), entry);
        state.cellsByRequest.put(requirements.request(), cell);
        ask(state, entry);
    }

    private PlaceRequest placeRequest(Requirements r, CellId cell) {
        return new PlaceRequest(
                r.request(),
                self,
                incarnation,
                cell,
                r.workspace(),
                r.kind(),
                r.promptTokens(),
                r.maxOutputTokens(),
                r.prefixHashes(),
                r.targetAtMillis(),
                r.deadlineMillis());
    }

    private void ask(State state, PendingPlacement entry) {
        entry.resendAtMillis = clock.nowMillis() + RESEND_MILLIS;
        sendToOwner(state, entry.request.cell(), entry.request);
    }

    private void sendToOwner(State state, CellId cell, PeerMessage message) {
        if (cell == null) {
            return;
        }
        Optional<HostId> owner = ownerOf(cell);
        if (owner.isEmpty()) {
            return;
        }
        if (!owner.get().equals(self)) {
            network.send(owner.get(), message);
            return;
        }
        long now = clock.nowMillis();
        if (message instanceof PlaceRequest request) {
            state.owner.requestArrived(request, now);
        } else if (message instanceof PlaceRelease release) {
            state.owner.released(release, now);
        } else if (message instanceof PlacePrefillDone done) {
            state.owner.prefillEnded(done, now);
        } else if (message instanceof PlaceRenew renew) {
            state.owner.renewed(renew, now);
        }
    }

    private Optional<HostId> ownerOf(CellId cell) {
        FleetSnapshot now = fleet.now();
        return CellSelector.owner(cell, now.epochs().current(), now.sheet(), h -> h.equals(self) || now.isLive(h));
    }

    private void replied(State state, PlaceReply reply) {
        CellId cell = state.cellsByRequest.get(reply.request());
        if (cell != null) {
            state.selector.waitReported(cell, reply.waitMillis(), clock.nowMillis());
        }
        PendingPlacement entry = state.waiting.remove(reply.request());
        if (entry == null) {
            if (reply.grant().isPresent() && !state.cellsByRequest.containsKey(reply.request())) {
                // The request ended while its grant was in transit; the release may have arrived before the grant was
                // made.
                releaseUnknownGrant(state, reply);
            }
            return;
        }
        if (reply.grant().isPresent()) {
            Grant grant = reply.grant().get();
            state.reservations.granted(entry.request, grant);
            monitor.used(grant, clock.nowMillis());
            entry.grant.complete(grant);
            return;
        }
        state.cellsByRequest.remove(reply.request());
        Refusal refusal = reply.refusal()
                .orElseGet(() -> Refusal.notRun(RefusalCode.NO_ROOM, "The cell owner gave no reason; try again."));
        entry.grant.completeExceptionally(new RefusedException(refusal));
    }

    private void releaseUnknownGrant(State state, PlaceReply reply) {
        PlaceRelease release = new PlaceRelease(reply.request(), PlaceRelease.Ending.CANCELLED, 0);
        state.cellsByModel.values().forEach(cells -> cells.forEach(cell -> sendToOwner(state, cell, release)));
    }

    private void tick(State state, long nowMillis) {
        if (nowMillis >= state.updateAtMillis) {
            state.updateAtMillis = nowMillis + FLEET_UPDATE_MILLIS;
            updateCells(state);
            updateOwnership(state, nowMillis);
        }
        state.owner.timer(nowMillis);
        for (PendingPlacement entry : List.copyOf(state.waiting.values())) {
            if (nowMillis >= entry.resendAtMillis) {
                ask(state, entry);
            }
        }
        if (nowMillis >= state.renewAtMillis) {
            state.renewAtMillis = nowMillis + RENEW_MILLIS;
            state.reservations.renewals().forEach(renew -> sendToOwner(state, renew.cell(), renew));
        }
        monitor.tick(state, fleet.now(), nowMillis);
        queuedRequests = state.owner.queuedRequests();
        openReservations = state.owner.openReservations();
    }

    /** Computes the cells once per sheet, because the computation ranks all engines. */
    private void updateCells(State state) {
        Sheet sheet = fleet.now().sheet();
        if (sheet == state.cellsOfSheet) {
            return;
        }
        state.cellsOfSheet = sheet;
        state.cellsByModel.clear();
        state.allCells.clear();
        List<RegionId> regions = regionsOf(sheet);
        for (ModelId model : sheet.models().keySet()) {
            state.cellsByModel.put(model, cellsNearby(sheet, model));
            regions.forEach(region -> state.allCells.addAll(CellSelector.cells(sheet, model, region)));
        }
        state.selector.retain(
                state.cellsByModel.values().stream().flatMap(List::stream).toList());
    }

    private List<CellId> cellsNearby(Sheet sheet, ModelId model) {
        Optional<RegionId> home = sheet.regionOf(dataCentre);
        List<CellId> own =
                home.map(r -> idsOf(CellSelector.cells(sheet, model, r))).orElse(List.of());
        if (!own.isEmpty()) {
            return own;
        }
        return regionsOf(sheet).stream()
                .map(r -> idsOf(CellSelector.cells(sheet, model, r)))
                .filter(ids -> !ids.isEmpty())
                .findFirst()
                .orElse(List.of());
    }

    private static List<CellId> idsOf(List<Cell> cells) {
        return cells.stream().map(Cell::id).toList();
    }

    private static List<RegionId> regionsOf(Sheet sheet) {
        return sheet.dataCentres().values().stream()
                .map(DataCentre::region)
                .distinct()
                .sorted()
                .toList();
    }

    private void updateOwnership(State state, long nowMillis) {
        List<Cell> owned = state.allCells.stream()
                .filter(cell -> ownerOf(cell.id()).filter(self::equals).isPresent())
                .toList();
        state.owner.ownedCells(owned, state.cellsOfSheet, nowMillis);
    }
}
