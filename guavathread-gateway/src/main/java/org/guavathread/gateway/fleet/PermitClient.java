package org.guavathread.gateway.fleet;

import java.util.Optional;
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

    /** Time for which a server is left alone when the owner of its limit does not answer. */
    private static final long OWNER_SILENT_MILLIS = 300;

    private static final int STATUS_OK = 200;

    private final HostId self;
    private final GatewayContext context;
    private final FleetView fleet;
    private final PermitRelay relay = new PermitRelay();
    private final UnreadableMessages unreadable;

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
        if (peer.isEmpty()) {
            answered(server, OWNER_SILENT_MILLIS, onResult);
            return;
        }
        context.client()
                .send(peer.get().peers(), relay.request(server, terms.get(), now()))
                .whenComplete((answer, failure) -> context.loop()
                        .execute(() -> answered(server, roomInMillis(peer.get(), answer, failure), onResult)));
    }

    private long roomInMillis(HostReport peer, HttpResponse answer, Throwable failure) {
        if (failure != null || answer.status() != STATUS_OK) {
            Logger.warn(
                    "Asking host {} for a permit failed: {}.",
                    peer.host(),
                    failure == null ? "status " + answer.status() : failure.getMessage());
            return OWNER_SILENT_MILLIS;
        }
        try {
            return relay.decode(answer.body()).roomInMillis();
        } catch (CodecException e) {
            unreadable.count(peer.host(), e);
            return OWNER_SILENT_MILLIS;
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
