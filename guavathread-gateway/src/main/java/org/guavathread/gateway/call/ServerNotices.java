package org.guavathread.gateway.call;

import java.util.HashSet;
import java.util.Set;

import org.guavathread.core.dispatch.ColdServers;
import org.guavathread.core.dispatch.ServerPauses;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.publish.PublishedState;
import org.guavathread.core.registry.ServerProcess;
import org.guavathread.core.registry.Worker;
import org.guavathread.gateway.log.DecisionLog;
import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.gateway.protocol.BackendProtocol;
import org.guavathread.gateway.protocol.EngineReport;
import org.guavathread.gateway.protocol.ServerNotice;
import org.guavathread.router.http.HttpHead;
import org.guavathread.router.http.HttpRequest;

/** Acts on what backend servers say of themselves in their answers. Runs on the event loop's thread. */
public final class ServerNotices {

    /** Maximum length of a request line in the log. */
    private static final int MAX_REQUEST_CHARS = 100;

    private final EventLoop loop;
    private final PublishedState state;
    private final ServerPauses pauses;
    private final ColdServers coldServers;
    private final BackendProtocol protocol;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final Set<BackendServerId> unreadableLogged = new HashSet<>();
    private Runnable onDeparture = () -> {};

    /**
     * Creates a reader.
     *
     * @param loop source of the time
     * @param state receives servers that leave
     * @param pauses receives servers that ask for a pause
     * @param coldServers receives servers that are cold
     * @param protocol decodes notices
     * @param log receives a line for each notice
     * @param metrics counts notices
     */
    public ServerNotices(
            EventLoop loop,
            PublishedState state,
            ServerPauses pauses,
            ColdServers coldServers,
            BackendProtocol protocol,
            DecisionLog log,
            GatewayMetrics metrics) {
        this.loop = loop;
        this.state = state;
        this.pauses = pauses;
        this.coldServers = coldServers;
        this.protocol = protocol;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Sets what runs when a server has stated for the first time that it leaves.
     *
     * @param action tells other hosts
     */
    public void onDeparture(Runnable action) {
        onDeparture = action;
    }

    /**
     * Reads the head of an answer of any kind.
     *
     * @param server the server that was asked
     * @param request what it was asked
     * @param head status and headers of its answer
     */
    public void heard(Worker server, HttpRequest request, HttpHead head) {
        long now = loop.nowMillis();
        ServerNotice notice = protocol.noticeOf(head, now);
        if (notice.isEmpty()) {
            return;
        }
        if (notice.isLeaving()) {
            metrics.serverNotice("leaving");
            leaves(server, request, head, now);
        }
        notice.pausedUntilMillis().ifPresent(until -> {
            metrics.serverNotice("pause");
            pauses.state(server, until, now);
            entry(server, request, head, "pause")
                    .with("pauseMillis", until - now)
                    .write();
        });
        notice.coldUntilMillis().ifPresent(until -> {
            if (!coldServers.isCold(server, now)) {
                metrics.serverNotice("cold");
                entry(server, request, head, "cold")
                        .with("coldMillis", until - now)
                        .write();
            }
            coldServers.coldUntil(server.id(), until);
        });
        if (!notice.unreadable().isEmpty()) {
            metrics.serverNotice("unreadable");
            if (unreadableLogged.add(server.id())) {
                entry(server, request, head, "unreadable")
                        .with("headers", notice.unreadable())
                        .write();
            }
        }
    }

    private void leaves(Worker server, HttpRequest request, HttpHead head, long nowMillis) {
        if (state.applyStatedDeparture(server, nowMillis)) {
            entry(server, request, head, "leaving").write();
            onDeparture.run();
        }
    }

    /**
     * Reads which process of a server has written a report.
     *
     * @param server the server that was asked
     * @param askedAtMillis when it was asked
     * @param report its report
     */
    public void reported(Worker server, long askedAtMillis, EngineReport report) {
        report.startedAtMillis().ifPresent(startedAtMillis -> {
            ServerProcess stated = new ServerProcess(server.id(), startedAtMillis);
            if (state.registry().stated(stated, report.stage(), askedAtMillis, loop.nowMillis())) {
                metrics.serverNotice("restart");
                log.entry("notice")
                        .with("server", server.id())
                        .with("startedAt", startedAtMillis)
                        .with("outcome", "started again")
                        .with("known", server.startedAtMillis())
                        .write();
            }
        });
    }

    private DecisionLog.Entry entry(Worker server, HttpRequest request, HttpHead head, String outcome) {
        String line = request.toString();
        return log.entry("notice")
                .with("server", server.id())
                .with("startedAt", server.startedAtMillis())
                .with("outcome", outcome)
                .with("request", line.substring(0, Math.min(MAX_REQUEST_CHARS, line.length())))
                .with("status", head.status());
    }

    /**
     * Forgets servers that no longer exist.
     *
     * @param present ids of the servers that exist
     */
    public void retain(Set<BackendServerId> present) {
        unreadableLogged.retainAll(present);
    }
}
