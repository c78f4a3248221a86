package org.guavathread.gateway.call;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Supplier;

import org.guavathread.core.dispatch.SendPurpose;
import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.gateway.protocol.AnswerMeaning;
import org.guavathread.router.http.HttpResponse;

/** A request with a non-streamed answer. The answer is buffered until complete, so that a broken one can be retried. */
final class PlainCall extends Call {

    /** Share of the remaining time that a run may use if another run is allowed. */
    private static final double RUN_TIMEOUT_SHARE = 0.45;

    /** Timeout of a run if another run is allowed, as a multiple of the route's target latency. */
    private static final double RUN_TIMEOUT_TARGETS = 2;

    private final BackendClient backendClient;
    private final ReturnQueue returnQueue;
    private ServerLoads.Ticket ticket;

    PlainCall(
            GatewayContext context,
            AdmittedRequest admitted,
            RequestRouter.Permits permits,
            BackendClient backendClient,
            ReturnQueue returnQueue,
            Supplier<Refusal> drainRefusal,
            Runnable onEnd) {
        super(context, admitted, permits, drainRefusal, onEnd);
        this.backendClient = backendClient;
        this.returnQueue = returnQueue;
    }

    @Override
    void begin() {
        send();
    }

    @Override
    void release() {
        if (ticket != null) {
            ticket.close();
            ticket = null;
        }
        if (isEnded()) {
            returnQueue.ended(this);
        }
    }

    /** Sends the request to the best server, or decides that there is none. */
    void send() {
        if (endedBeforeSending() || refusedByDrain(0)) {
            return;
        }
        if (!backendClient.isReachable(admitted.service())) {
            refuseFull("No host reaches a backend server of service " + admitted.service() + ".");
            return;
        }
        Optional<Worker> chosen = context.plainDispatch().choose(candidates(), tried, now());
        if (chosen.isEmpty()) {
            refuseWithoutServer();
        } else {
            withPermit(chosen.get(), SendPurpose.WORK, () -> send(chosen.get()), this::send);
        }
    }

    /** Returns the servers to choose from: those that state a limit or are cold only if no other has a free slot. */
    private List<Worker> candidates() {
        List<Worker> available = serversWithoutPause();
        List<Worker> unlimited = context.serverLimits().withoutLimit(available, now());
        if (unlimited.size() == available.size()) {
            return unlimited;
        }
        List<Worker> free = unlimited.stream()
                .filter(w -> !tried.contains(w.id())
                        && !context.health().isAvoided(w.id(), now())
                        && context.loads().requests(w.id()) < w.slots())
                .toList();
        return free.isEmpty() ? serversWithRoom() : free;
    }

    private void refuseWithoutServer() {
        OptionalLong returnsAtMillis = context.pauses().firstReturnMillis(untried(), now());
        if (returnsAtMillis.isPresent()) {
            waitForReturn(untried(), returnsAtMillis.getAsLong());
        } else if (!tried.isEmpty()) {
            refuseFull("No backend server is left that has not refused the request.");
        } else if (servers().isEmpty()) {
            refuseFull("No backend server of service " + admitted.service() + " may get the request.");
        } else {
            refuseFull(
                    "The backend servers of service " + admitted.service() + " have reached their stated limits.",
                    context.serverLimits().roomInMillis(serversWithoutPause(), now()));
        }
    }

    /** Waits for the first server to return from its pause if it can then still serve the request. */
    private void waitForReturn(List<Worker> paused, long returnsAtMillis) {
        int slots = paused.stream().mapToInt(Worker::slots).max().orElse(0);
        boolean isInTime = returnsAtMillis + admitted.rule().targetMillis() <= admitted.deadlineMillis();
        boolean waits = isInTime && returnQueue.enqueue(this, returnsAtMillis, slots);
        log("wait")
                .with("outcome", waits ? "waits" : "refused")
                .with("pausedServers", paused.size())
                .with("returnMillis", returnsAtMillis - now())
                .with("remainingMillis", remainingMillis())
                .write();
        if (!waits) {
            refuseFull("All backend servers of service " + admitted.service() + " have asked for a pause.");
        }
    }

    private void send(Worker worker) {
        if (refusedByLimit()) {
            return;
        }
        tried.add(worker.id());
        ticket = context.loads().open(worker.id(), 0, 0);
        long untilMillis = runDeadline();
        log("send")
                .with("server", worker.id())
                .with("failureRate", Math.round(context.health().failureRate(worker.id()) * 100) / 100.0)
                .with("runMillis", untilMillis - now())
                .with("remainingMillis", remainingMillis())
                .write();
        setRunCall(backendClient.send(
                worker,
                context.backendProtocol()
                        .run(
                                request(),
                                sendOptions(worker, untilMillis, Optional.empty(), Optional.empty(), Optional.empty())),
                answer -> answered(worker, answer),
                failure -> failed(worker, failure)));
    }

    private long runDeadline() {
        boolean anotherRunAllowed =
                admitted.rule().mayRunAgain() && admitted.rule().maxRuns() > tried.size();
        if (!anotherRunAllowed || !hasUntriedServer()) {
            return admitted.deadlineMillis();
        }
        double millis =
                Math.max(RUN_TIMEOUT_TARGETS * admitted.rule().targetMillis(), RUN_TIMEOUT_SHARE * remainingMillis());
        return Math.min(admitted.deadlineMillis(), now() + (long) millis);
    }

    private void answered(Worker worker, HttpResponse answer) {
        if (isEnded()) {
            return;
        }
        clearBackendCall();
        release();
        AnswerMeaning meaning = context.backendProtocol().meaningOf(request(), answer.head());
        recordLimit(worker, answer.head(), meaning);
        log("result")
                .with("server", worker.id())
                .with("meaning", meaning)
                .with("status", answer.status())
                .write();
        context.metrics().sent("run", meaning.name());
        if (meaning.isNotRun()) {
            if (meaning == AnswerMeaning.MISDIRECTED) {
                context.health().unreachable(worker.id(), now());
            } else if (!isPaused(worker)) {
                context.health().failed(worker.id(), now());
            }
            retryNotRun();
            return;
        }
        countRun();
        if (meaning == AnswerMeaning.FOREIGN) {
            context.health().failed(worker.id(), now());
            retryBroken("The backend server's answer was not this request's.");
            return;
        }
        recordAnswered();
        boolean failure = answer.status() >= 500;
        if (failure) {
            context.health().failed(worker.id(), now());
        } else {
            context.health().succeeded(worker.id(), now());
        }
        if (failure && admitted.rule().mayRunAgain() && mayRunAgain() && hasUntriedServer() && takeRetry()) {
            send();
            return;
        }
        answer(answer.status(), context.backendProtocol().callerHeaders(answer.head()), answer.body());
    }

    private void failed(Worker worker, Throwable failure) {
        if (isEnded()) {
            return;
        }
        clearBackendCall();
        release();
        boolean notSent = BackendClient.isNotSent(failure);
        log("result")
                .with("server", worker.id())
                .with("meaning", notSent ? "NOT_SENT" : "BROKEN")
                .with("failure", failure.getMessage())
                .write();
        context.metrics().sent("run", notSent ? "NOT_SENT" : "BROKEN");
        if (notSent) {
            recordLost(worker, failure);
            if (mayRetryUnsent() && hasUntriedServer()) {
                send();
            } else {
                refuseFull("No backend server could be reached.");
            }
            return;
        }
        countRun();
        if (BackendClient.isConnectionLost(failure)) {
            context.health().failed(worker.id(), now());
            recordCrash(worker);
        } else {
            context.health().unreachable(worker.id(), now());
        }
        retryBroken("The backend server broke off or did not answer.");
    }

    private void retryNotRun() {
        if (hasUntriedServer() && takeRetry()) {
            send();
        } else {
            refuseFull("The backend servers have no room.");
        }
    }

    private void retryBroken(String message) {
        if (admitted.rule().mayRunAgain() && mayRunAgain() && !isCrashSuspect() && hasUntriedServer() && takeRetry()) {
            send();
        } else {
            refuse(Refusal.unknown(RefusalCode.BACKEND_FAILED, message));
        }
    }

    private boolean hasUntriedServer() {
        return serversWithRoom().stream().anyMatch(w -> !tried.contains(w.id()));
    }
}
