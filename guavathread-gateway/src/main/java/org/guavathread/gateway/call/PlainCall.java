package org.guavathread.gateway.call;

import java.util.Optional;

import org.guavathread.core.dispatch.ServerLoads;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.gateway.protocol.AnswerMeaning;
import org.guavathread.router.http.HttpAnswer;

/** A request with a non-streamed answer. The answer is buffered until complete, so that a broken one can be retried. */
final class PlainCall extends Call {

    /** Share of the remaining time that a run may use if another run is allowed. */
    private static final double FIRST_RUN_SHARE = 0.45;

    /** Timeout of a run if another run is allowed, as a multiple of the route's target latency. */
    private static final double TARGETS_PER_RUN = 2;

    private final Exchanges exchanges;
    private ServerLoads.Ticket ticket;

    PlainCall(GatewayContext context, Admitted admitted, Exchanges exchanges, Runnable onEnd) {
        super(context, admitted, onEnd);
        this.exchanges = exchanges;
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
    }

    private void send() {
        Optional<Worker> chosen = context.plainDispatch().choose(servers(), tried, now());
        if (chosen.isEmpty()) {
            refuseFull(
                    tried.isEmpty()
                            ? "No backend server of service " + admitted.service() + " is listed."
                            : "No backend server is left that has not refused the request.");
            return;
        }
        Worker worker = chosen.get();
        tried.add(worker.id());
        ticket = context.loads().open(worker.id(), 0, 0);
        long untilMillis = runDeadline();
        log("send")
                .with("server", worker.id())
                .with("failureRate", Math.round(context.health().failureRate(worker.id()) * 100) / 100.0)
                .with("runMillis", untilMillis - now())
                .with("remainingMillis", remainingMillis())
                .write();
        runningRequest(exchanges.whole(
                worker,
                context.backendProtocol()
                        .run(
                                request(),
                                sendOptions(worker, untilMillis, Optional.empty(), Optional.empty(), Optional.empty())),
                answer -> answered(worker, answer),
                failure -> failed(worker, failure)));
    }

    private long runDeadline() {
        boolean more = admitted.rule().mayRunAgain() && admitted.rule().maxRuns() > tried.size();
        if (!more) {
            return admitted.deadlineMillis();
        }
        double millis = Math.max(TARGETS_PER_RUN * admitted.rule().targetMillis(), FIRST_RUN_SHARE * remainingMillis());
        return Math.min(admitted.deadlineMillis(), now() + (long) millis);
    }

    private void answered(Worker worker, HttpAnswer answer) {
        if (isEnded()) {
            return;
        }
        idle();
        release();
        AnswerMeaning meaning = context.backendProtocol().meaningOf(request(), answer.head());
        log("result")
                .with("server", worker.id())
                .with("meaning", meaning)
                .with("status", answer.status())
                .write();
        context.metrics().sent("run", meaning.name());
        if (meaning.isNotRun()) {
            if (meaning == AnswerMeaning.MISDIRECTED) {
                context.health().unreachable(worker.id(), now());
            } else {
                context.health().failed(worker.id(), now());
            }
            repeatNotRun();
            return;
        }
        ran();
        if (meaning == AnswerMeaning.FOREIGN) {
            context.health().failed(worker.id(), now());
            repeatBroken("The backend server's answer was not this request's.");
            return;
        }
        context.crashSuspects().answered(admitted.fingerprint());
        boolean failure = answer.status() >= 500;
        if (failure) {
            context.health().failed(worker.id(), now());
        } else {
            context.health().succeeded(worker.id());
        }
        if (failure && admitted.rule().mayRunAgain() && mayRunAgain() && hasUntried() && takeRepeat()) {
            send();
            return;
        }
        answer(answer.status(), context.backendProtocol().callerHeaders(answer.head()), answer.body());
    }

    private void failed(Worker worker, Throwable failure) {
        if (isEnded()) {
            return;
        }
        idle();
        release();
        boolean notSent = Exchanges.isNotSent(failure);
        log("result")
                .with("server", worker.id())
                .with("meaning", notSent ? "NOT_SENT" : "BROKEN")
                .with("failure", failure.getMessage())
                .write();
        context.metrics().sent("run", notSent ? "NOT_SENT" : "BROKEN");
        if (notSent) {
            context.health().unreachable(worker.id(), now());
            if (mayTryUnsent() && hasUntried()) {
                send();
            } else {
                refuseFull("No backend server could be reached.");
            }
            return;
        }
        ran();
        if (Exchanges.isConnectionLost(failure)) {
            context.health().failed(worker.id(), now());
            context.crashSuspects().crashed(admitted.fingerprint(), now());
        } else {
            context.health().unreachable(worker.id(), now());
        }
        repeatBroken("The backend server broke off or did not answer.");
    }

    private void repeatNotRun() {
        if (hasUntried() && takeRepeat()) {
            send();
        } else {
            refuseFull("The backend servers have no room.");
        }
    }

    private void repeatBroken(String message) {
        boolean suspect = context.crashSuspects().isRefused(admitted.fingerprint(), now());
        if (admitted.rule().mayRunAgain() && mayRunAgain() && !suspect && hasUntried() && takeRepeat()) {
            send();
        } else {
            refuse(Refusal.unknown(RefusalCode.BACKEND_FAILED, message));
        }
    }

    private boolean hasUntried() {
        return servers().stream().anyMatch(w -> !tried.contains(w.id()));
    }
}
