package org.guavathread.gateway.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import org.guavathread.core.dispatch.PermitTerms;
import org.guavathread.core.dispatch.SendPurpose;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.router.http.HttpResponse;
import org.guavathread.wire.CodecException;
import org.tinylog.Logger;

/** Obtains permits for requests to servers with a limit from the owners of the limits. Runs on the event loop's thread. */
public final class PermitClient implements RequestRouter.Permits {

    /** Time for which an owner that did not answer is not asked about cold servers: it is noticed to be gone later. */
    private static final long OWNER_AVOIDED_MILLIS = 1_000;

    private static final int STATUS_OK = 200;

    private final HostId self;
    private final GatewayContext context;
    private final FleetView fleet;
    private final PermitRelay relay = new PermitRelay();
    private final UnreadableMessages unreadable;
    private final Map<HostId, Long> silentUntilMillis = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param self this host
     * @param context source of the limits
     * @param fleet this host's view of the other hosts
     */
    public PermitClient(HostId self, GatewayContext context, FleetView fleet) {
        this.self = self;
        this.context = context;
        this.fleet = fleet;
        this.unreadable = new UnreadableMessages("permit", context.metrics());
    }

    @Override
    public void acquire(Worker worker, SendPurpose purpose, Consumer<Boolean> onResult) {
        Optional<PermitTerms> terms = context.serverLimits().termsOf(worker, purpose, now());
        if (terms.isEmpty()) {
            onResult.accept(true);
            return;
        }
        BackendServerId server = worker.id();
        HostId owner = context.serverLimits().ownerOf(server);
        if (owner.equals(self)) {
            answered(server, context.serverLimits().grant(server, terms.get(), now()), onResult);
            return;
        }
        Optional<HostReport> peer = fleet.reachableHosts(now()).stream()
                .filter(r -> r.host().equals(owner))
                .findFirst();
        boolean isSilent = terms.get().statedPerSecond().isEmpty()
                && now() < silentUntilMillis.getOrDefault(owner, Long.MIN_VALUE);
        if (peer.isEmpty() || isSilent) {
            answered(server, withoutOwner(server, terms.get()), onResult);
            return;
        }
        context.client()
                .send(peer.get().peers(), relay.request(server, terms.get(), now()))
                .whenComplete((answer, failure) -> context.loop()
                        .complete(() -> answered(
                                server,
                                roomInMillis(peer.get(), answer, failure)
                                        .orElseGet(() -> withoutOwner(server, terms.get())),
                                onResult)));
    }

    private long withoutOwner(BackendServerId server, PermitTerms terms) {
        return context.serverLimits().grantWithoutOwner(server, terms, now());
    }

    private OptionalLong roomInMillis(HostReport peer, HttpResponse answer, Throwable failure) {
        if (failure != null || answer.status() != STATUS_OK) {
            Logger.warn(
                    "Asking host {} for a permit failed: {}.",
                    peer.host(),
                    failure == null ? "status " + answer.status() : failure.getMessage());
            silentUntilMillis.put(peer.host(), now() + OWNER_AVOIDED_MILLIS);
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(relay.decode(answer.body()).roomInMillis());
        } catch (CodecException e) {
            unreadable.count(peer.host(), e);
            return OptionalLong.empty();
        }
    }

    private void answered(BackendServerId server, long roomInMillis, Consumer<Boolean> onResult) {
        if (roomInMillis > 0) {
            context.serverLimits().refused(server, now() + roomInMillis);
        }
        context.metrics().permit(roomInMillis == 0);
        onResult.accept(roomInMillis == 0);
    }

    private long now() {
        return context.loop().nowMillis();
    }
}
