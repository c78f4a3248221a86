package org.guavathread.gateway.call;

import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.guavathread.core.dispatch.AnswerDurationEstimator;
import org.guavathread.core.dispatch.ColdServers;
import org.guavathread.core.dispatch.CrashSuspects;
import org.guavathread.core.dispatch.DrainAdmission;
import org.guavathread.core.dispatch.EngineDispatch;
import org.guavathread.core.dispatch.KeptRoom;
import org.guavathread.core.dispatch.PlainDispatch;
import org.guavathread.core.dispatch.PriorityDemand;
import org.guavathread.core.dispatch.ServerHealth;
import org.guavathread.core.dispatch.ServerLimits;
import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.dispatch.ServerPauses;
import org.guavathread.core.dispatch.ServerReach;
import org.guavathread.core.publish.PublishedState;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.RegionMap;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.share.FairShareTracker;
import org.guavathread.core.share.SharedRetryBudget;
import org.guavathread.core.share.SharedTokenLimits;
import org.guavathread.gateway.log.DecisionLog;
import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.gateway.protocol.BackendProtocol;
import org.guavathread.gateway.protocol.CallerProtocol;
import org.guavathread.router.http.HttpClient;
import org.guavathread.router.http.HttpRequest;
import org.guavathread.router.http.HttpResponse;

/**
 * Components and state shared by all requests.
 *
 * @param loop the event loop that handles requests
 * @param state the configuration and backend servers published by the store
 * @param limits rate limits of the workspaces
 * @param shares recent usage of each workspace relative to the others
 * @param retries retry budget
 * @param loads current load of the backend servers
 * @param health health of the backend servers, from the outcomes of earlier requests
 * @param reach which servers this host can connect to
 * @param coldServers which backend servers are cold
 * @param serverLimits request rates that backend servers state, and those of cold ones
 * @param pauses pauses that backend servers ask this host for
 * @param notices acts on what backend servers say of themselves in their answers
 * @param plainDispatch selects servers for plain requests
 * @param engineDispatch selects engines for language requests
 * @param demand requests of all hosts by priority
 * @param keptRoom room of engines that less urgent requests leave to more urgent ones
 * @param answerPace measured generation time of answers
 * @param drain decides what is still accepted while this host stops
 * @param crashSuspects fingerprints of requests that crashed backend servers
 * @param regions the regions of the data centres
 * @param client HTTP client for backend servers and hosts
 * @param callerProtocol protocol spoken with callers
 * @param backendProtocol protocol spoken with backend servers
 * @param log decision log
 * @param metrics counters and histograms
 * @param random source of random numbers
 */
public record GatewayContext(
        EventLoop loop,
        PublishedState state,
        SharedTokenLimits limits,
        FairShareTracker shares,
        SharedRetryBudget retries,
        ServerLoads loads,
        ServerHealth health,
        ServerReach reach,
        ColdServers coldServers,
        ServerLimits serverLimits,
        ServerPauses pauses,
        ServerNotices notices,
        PlainDispatch plainDispatch,
        EngineDispatch engineDispatch,
        PriorityDemand demand,
        KeptRoom keptRoom,
        AnswerDurationEstimator answerPace,
        DrainAdmission drain,
        CrashSuspects crashSuspects,
        RegionMap regions,
        HttpClient client,
        CallerProtocol callerProtocol,
        BackendProtocol backendProtocol,
        DecisionLog log,
        GatewayMetrics metrics,
        RandomGenerator random) {

    /**
     * Tells whether this host cannot connect to the servers of a service, or to any server.
     *
     * @param service the service
     * @return true if requests to them have to go through another host
     */
    public boolean isOutOfReach(ServiceName service) {
        long now = loop.nowMillis();
        return reach.hasRecentFailures(now)
                && (reach.isOutOfReach(state.registry().usable(service), now)
                        || reach.isOutOfReach(state.registry().usable(), now));
    }

    /**
     * Tells whether a server is to get nothing on this host's own account: it is in a pause, evacuated or cold.
     *
     * @param server the server
     * @param nowMillis the current time
     * @return true if what it takes is left to requests
     */
    public boolean isSpared(Worker server, long nowMillis) {
        return pauses.isPaused(server, nowMillis)
                || state.registry().isEvacuated(server)
                || coldServers.isCold(server, nowMillis);
    }

    /**
     * Asks a backend server something on this host's own account, not through another host. Cold servers are not asked:
     * what they take is left to requests.
     *
     * @param server the server
     * @param request the request
     * @param onEnd receives the answer, or the failure, on the event loop's thread
     */
    public void ask(Worker server, HttpRequest request, BiConsumer<HttpResponse, Throwable> onEnd) {
        if (coldServers.isCold(server, loop.nowMillis())) {
            onEnd.accept(null, new IllegalStateException("The server is cold."));
            return;
        }
        client.send(server.address(), request)
                .whenComplete((answer, failure) -> loop.complete(() -> {
                    if (failure == null) {
                        notices.heard(server, request, answer.head());
                    }
                    onEnd.accept(answer, failure);
                }));
    }
}
