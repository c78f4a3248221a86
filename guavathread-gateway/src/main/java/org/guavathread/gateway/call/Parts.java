package org.guavathread.gateway.call;

import java.util.random.RandomGenerator;

import org.guavathread.core.dispatch.AnswerPace;
import org.guavathread.core.dispatch.CrashSuspects;
import org.guavathread.core.dispatch.EngineDispatch;
import org.guavathread.core.dispatch.PlainDispatch;
import org.guavathread.core.dispatch.ServerHealth;
import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.publish.PublishedState;
import org.guavathread.core.share.DemandShares;
import org.guavathread.core.share.SharedRetryBudget;
import org.guavathread.core.share.SharedTokenLimits;
import org.guavathread.gateway.form.CallerForm;
import org.guavathread.gateway.form.WorkerForm;
import org.guavathread.gateway.log.DecisionLog;
import org.guavathread.gateway.log.GatewayMetrics;
import org.guavathread.gateway.loop.EventLoop;
import org.guavathread.router.http.HttpClient;

/**
 * What the steps of all requests share.
 *
 * @param loop the thread on which requests are decided
 * @param state what the store publishes
 * @param limits rates of the workspaces
 * @param shares use of the workspaces compared
 * @param retries budget of repeated sends
 * @param loads work in progress on backend servers
 * @param health outcome of earlier requests
 * @param plain choice of a server for plain requests
 * @param engines choice of engines for language requests
 * @param pace how long engines take for an answer
 * @param suspects requests that crash backend servers
 * @param client sends to backend servers
 * @param callers the callers' protocol
 * @param workers the backend servers' protocol
 * @param log one line a decision
 * @param metrics counters and histograms
 * @param random source of random numbers
 */
public record Parts(
        EventLoop loop,
        PublishedState state,
        SharedTokenLimits limits,
        DemandShares shares,
        SharedRetryBudget retries,
        ServerLoads loads,
        ServerHealth health,
        PlainDispatch plain,
        EngineDispatch engines,
        AnswerPace pace,
        CrashSuspects suspects,
        HttpClient client,
        CallerForm callers,
        WorkerForm workers,
        DecisionLog log,
        GatewayMetrics metrics,
        RandomGenerator random) {}
