package org.guavathread.router.flow;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.sheet.Route;
import org.guavathread.core.sheet.RouteTarget;
import org.guavathread.router.caller.CallerExchange;
import org.guavathread.router.fleet.FleetSnapshot;
import org.guavathread.router.fleet.FleetState;
import org.tinylog.Logger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Entry point of each request: finds its route, checks its API key and passes it to the flow of its target. */
public final class RequestRouter {

    /** Path under which callers ask which addresses to use. */
    public static final String ENTRY_PATH = "/v1/entry";

    private static final String BEARER = "Bearer ";
    private static final long DRAIN_RETRY_AFTER_MILLIS = 1_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HostId self;
    private final DataCentreId dataCentre;
    private final FleetState fleet;
    private final ActiveRequests active;
    private final BooleanSupplier refusesNewWork;
    private final BooleanSupplier isolated;
    private final PlainFlow plain;
    private final LanguageFlow language;

    /**
     * Builds the router.
     *
     * @param self this host
     * @param dataCentre data centre of this host
     * @param fleet the current view of the fleet
     * @param active the requests in progress
     * @param refusesNewWork whether this host is draining and no longer accepts requests
     * @param isolated whether this host is cut off and would miss the withdrawal of an API key
     * @param plain runs calls of plain services
     * @param language runs requests of language engines
     */
    public RequestRouter(
            HostId self,
            DataCentreId dataCentre,
            FleetState fleet,
            ActiveRequests active,
            BooleanSupplier refusesNewWork,
            BooleanSupplier isolated,
            PlainFlow plain,
            LanguageFlow language) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.fleet = fleet;
        this.active = active;
        this.refusesNewWork = refusesNewWork;
        this.isolated = isolated;
        this.plain = plain;
        this.language = language;
    }

    /**
     * Routes a request. Never throws: an exception in a flow becomes a refusal, so that every caller gets an answer.
     *
     * @param exchange the request
     */
    public void route(CallerExchange exchange) {
        try {
            routeChecked(exchange);
        } catch (RuntimeException e) {
            Logger.error(e, "Request {} failed unexpectedly.", exchange.id());
            exchange.refuse(Refusal.unknown(
                    RefusalCode.BACKEND_FAILED, "The router failed on this request; its log names the cause."));
        }
    }

    private void routeChecked(CallerExchange exchange) {
        FleetSnapshot now = fleet.now();
        if (ENTRY_PATH.equals(exchange.path())) {
            answerEntry(exchange, now);
            return;
        }
        Optional<Route> route = now.sheet().routeByPath(exchange.path());
        if (route.isEmpty()) {
            refuseUnrouted(exchange, now.hasSheet() ? noRoute(exchange, now) : noSheet());
            return;
        }
        Optional<KeyRing.Owner> owner = presentedKey(exchange).flatMap(now.keys()::ownerOf);
        RequestContext context =
                new RequestContext(exchange, route.get(), route.get().open() ? Optional.empty() : owner, active);
        context.trace("arrived on route " + route.get().id());
        Optional<Refusal> refusal = refusalFor(exchange, route.get(), owner, now);
        if (refusal.isPresent()) {
            context.refuse(refusal.get());
        } else if (route.get().target() == RouteTarget.SERVICE) {
            plain.run(context);
        } else {
            language.run(context);
        }
    }

    private Optional<Refusal> refusalFor(
            CallerExchange exchange, Route route, Optional<KeyRing.Owner> owner, FleetSnapshot now) {
        if (refusesNewWork.getAsBoolean()) {
            return Optional.of(Refusal.notRun(
                            RefusalCode.DRAINING,
                            "Host " + self + " is shutting down; ask " + ENTRY_PATH + " for another address.")
                    .retryAfter(DRAIN_RETRY_AFTER_MILLIS));
        }
        if (route.open()) {
            return Optional.empty();
        }
        if (presentedKey(exchange).isEmpty()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.KEY_MISSING, "Route " + route.id() + " needs the header Authorization: Bearer KEY."));
        }
        if (owner.isEmpty()) {
            return Optional.of(keyUnknown());
        }
        if (isolated.getAsBoolean()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.ISOLATED,
                    "Host " + self + " hears neither the configuration service nor any peer, so it cannot know whether"
                            + " the API key is still valid; use another host."));
        }
        return Optional.empty();
    }

    private void answerEntry(CallerExchange exchange, FleetSnapshot now) {
        if (!now.hasSheet()) {
            refuseUnrouted(exchange, noSheet());
            return;
        }
        Optional<String> key = presentedKey(exchange);
        Optional<KeyRing.Owner> owner = key.flatMap(now.keys()::ownerOf);
        if (key.isPresent() && owner.isEmpty()) {
            refuseUnrouted(exchange, keyUnknown());
            return;
        }
        Object answer = EntryAnswer.of(now, self, dataCentre, owner.map(KeyRing.Owner::workspace));
        exchange.answer(200, Map.of("Content-Type", "application/json", "Cache-Control", "no-store"), json(answer));
    }

    /**
     * Refuses a request that no flow has begun. With an idempotency key its run state is unknown, because an earlier
     * attempt may have run at another host or under another sheet.
     */
    private void refuseUnrouted(CallerExchange exchange, Refusal refusal) {
        boolean mayHaveRun = exchange.header("Idempotency-Key").isPresent();
        Refusal sent = mayHaveRun
                ? Refusal.unknown(refusal.code(), refusal.message()).retryAfter(refusal.retryAfterMillis())
                : refusal;
        active.countUnroutedRefusal(sent);
        exchange.refuse(sent);
    }

    private static Refusal keyUnknown() {
        return Refusal.notRun(
                RefusalCode.KEY_UNKNOWN, "The API key belongs to no workspace; it may have been withdrawn.");
    }

    private static Refusal noSheet() {
        return Refusal.notRun(
                        RefusalCode.OVERLOADED, "This host has not read the sheet yet; try again or use another host.")
                .retryAfter(DRAIN_RETRY_AFTER_MILLIS);
    }

    private static Refusal noRoute(CallerExchange exchange, FleetSnapshot now) {
        List<String> paths =
                now.sheet().routes().values().stream().map(Route::path).sorted().toList();
        return Refusal.notRun(
                RefusalCode.NO_ROUTE, "No route has the path \"" + exchange.path() + "\"; there are " + paths + ".");
    }

    private static Optional<String> presentedKey(CallerExchange exchange) {
        return exchange.header("Authorization")
                .filter(h -> h.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(h -> h.substring(BEARER.length()).strip())
                .filter(k -> !k.isEmpty());
    }

    static byte[] json(Object value) {
        try {
            return JSON.writeValueAsString(value).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("An answer cannot be written as JSON.", e);
        }
    }
}
