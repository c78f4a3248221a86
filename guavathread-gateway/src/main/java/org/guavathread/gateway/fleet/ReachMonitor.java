package org.guavathread.gateway.fleet;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpStep;
import org.guavathread.router.http.RequestNotSentException;

/**
 * Notices when servers are out of this host's reach, and probes them until they are not: while requests go through other
 * hosts, nothing else would tell. Runs on the event loop's thread.
 */
public final class ReachMonitor {

    /** Interval of probes, one server at a time. */
    private static final long PROBE_INTERVAL_MILLIS = 250;

    /** Timeout of a probe; any answer counts, and a connection is opened within milliseconds. */
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;

    private final GatewayContext context;
    private Set<ServiceName> outOfReach = Set.of();
    private boolean isCutOff;
    private long nextProbeMillis;

    /**
     * Creates a monitor.
     *
     * @param context source of the servers and of what is known about them
     */
    public ReachMonitor(GatewayContext context) {
        this.context = context;
    }

    /**
     * Returns whether the servers of all services are out of reach. If those of one service are, the reason may lie with
     * them, and callers are no better off at another host.
     *
     * @return true if this host serves requests through other hosts only
     */
    public boolean isCutOff() {
        return isCutOff;
    }

    /** Updates what is out of reach, and sends the probe that is due. */
    public void step() {
        long now = context.loop().nowMillis();
        List<Worker> servers = context.reach().hasRecentFailures(now)
                ? context.state().registry().usable()
                : List.of();
        Set<ServiceName> services = servers.stream()
                .map(Worker::service)
                .distinct()
                .filter(context::isOutOfReach)
                .collect(Collectors.toSet());
        isCutOff = !servers.isEmpty() && servers.stream().allMatch(w -> services.contains(w.service()));
        List<Worker> lost =
                servers.stream().filter(w -> services.contains(w.service())).toList();
        if (!services.equals(outOfReach)) {
            outOfReach = services;
            context.log()
                    .entry("reach")
                    .with("outcome", services.isEmpty() ? "regained" : "lost")
                    .with("services", services)
                    .with("servers", lost.size())
                    .write();
        }
        if (!lost.isEmpty() && now >= nextProbeMillis) {
            nextProbeMillis = now + PROBE_INTERVAL_MILLIS;
            context.reach()
                    .nextToProbe(context.coldServers().notCold(context.pauses().withoutPause(lost, now), now))
                    .ifPresent(this::probe);
        }
    }

    private void probe(Worker server) {
        long openedAtMillis = context.loop().nowMillis();
        HttpRequest request = context.backendProtocol().report(server, openedAtMillis + PROBE_TIMEOUT_MILLIS);
        context.ask(server, request, (answer, failure) -> {
            if (failure == null) {
                context.reach().connected(server.id(), openedAtMillis);
            } else if (failure instanceof RequestNotSentException notSent && notSent.step() == HttpStep.CONNECT) {
                context.reach().notConnected(server.id(), context.loop().nowMillis());
            }
        });
    }
}
