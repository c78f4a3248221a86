package org.guavathread.bench.placement;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.placement.PlaceRelease.Ending;
import org.guavathread.core.retry.RetryBudget;

/** Runs requests on pairs of engines; subclasses decide which pair and when. */
abstract class Router {

    /** A stream without a token for this long is treated as broken. */
    private static final long TOKEN_TIMEOUT_MICROS = 500_000;

    /** A prefill without an answer for this long is treated as lost. */
    private static final long PREFILL_TIMEOUT_MICROS = 2_000_000;

    final Fleet fleet;
    final EventLoop loop;
    private final List<RetryBudget> retryBudgets = new ArrayList<>();

    Router(Fleet fleet) {
        this.fleet = fleet;
        loop = fleet.loop;
        for (int h = 0; h < Deployment.HOSTS; h++) {
            retryBudgets.add(new RetryBudget());
        }
        fleet.prefills.forEach(p -> p.setListeners(this::prefillDone, a -> lost(a, Ending.PREFILL_FAILED)));
        fleet.decodes.forEach(
                d -> d.setListeners(this::token, a -> ended(a, Ending.FINISHED), a -> lost(a, Ending.DECODE_FAILED)));
    }

    /** Starts periodic work that does not depend on requests, such as load reports. */
    abstract void start(long untilMicros);

    /** Places a request that has arrived at its host or has to be placed again. */
    abstract void place(SimRequest request);

    /** Called at the engine when a prefill has succeeded. */
    void onPrefillDone(Attempt attempt) {}

    /** Called at the host when an attempt has ended. */
    void onEnded(Attempt attempt, Ending ending) {}

    long hostHopMicros(Attempt attempt, int engineDataCentre) {
        return fleet.deployment.hopMicros(fleet.dataCentreOfHost(attempt.request.host), engineDataCentre);
    }

    void arrived(SimRequest request) {
        retryBudgets.get(request.host).requestStarted();
        place(request);
    }

    /**
     * Starts an attempt at the host of a request. If {@code pieces} is above 0, they are reserved before the prefill
     * starts.
     */
    void run(SimRequest request, FakePrefill prefill, FakeDecode decode, int pieces) {
        Attempt attempt = new Attempt(request, prefill, decode);
        attempt.pieces = pieces;
        request.attempt = attempt;
        attempt.progressMicros = loop.nowMicros();
        long toDecodeMicros = hostHopMicros(attempt, decode.dataCentre);
        if (pieces == 0) {
            loop.afterOrNow(hostHopMicros(attempt, prefill.dataCentre), () -> submit(attempt));
        } else {
            loop.afterOrNow(toDecodeMicros, () -> reserve(attempt, toDecodeMicros));
        }
        scheduleTimeoutCheck(attempt);
    }

    private void reserve(Attempt attempt, long toDecodeMicros) {
        if (!attempt.isCurrent()) {
            return;
        }
        boolean reserved = attempt.decode.isResponsive() && attempt.decode.reserve(attempt, attempt.pieces);
        if (reserved) {
            loop.afterOrNow(toDecodeMicros + hostHopMicros(attempt, attempt.prefill.dataCentre), () -> submit(attempt));
        } else {
            Ending ending = attempt.decode.isResponsive() ? Ending.DECODE_FULL : Ending.DECODE_FAILED;
            loop.after(toDecodeMicros, () -> ended(attempt, ending));
        }
    }

    private void submit(Attempt attempt) {
        if (attempt.isCurrent()) {
            attempt.prefill.submit(attempt);
        }
    }

    private void prefillDone(Attempt attempt) {
        onPrefillDone(attempt);
        attempt.progressMicros = loop.nowMicros();
        long hops =
                hostHopMicros(attempt, attempt.prefill.dataCentre) + hostHopMicros(attempt, attempt.decode.dataCentre);
        loop.afterOrNow(hops, () -> {
            if (attempt.isCurrent() && attempt.stage == Attempt.Stage.PREFILLED) {
                attempt.decode.pull(attempt);
            }
        });
    }

    private void token(Attempt attempt) {
        if (attempt.isCurrent()) {
            attempt.progressMicros = loop.nowMicros();
            long toClientMicros = hostHopMicros(attempt, attempt.decode.dataCentre) + fleet.deployment.clientMicros();
            attempt.request.token(loop.nowMicros(), toClientMicros);
        }
    }

    private void lost(Attempt attempt, Ending ending) {
        loop.after(hostHopMicros(attempt, attempt.decode.dataCentre), () -> ended(attempt, ending));
    }

    private void scheduleTimeoutCheck(Attempt attempt) {
        loop.after(TOKEN_TIMEOUT_MICROS / 2, () -> {
            if (!attempt.isCurrent()) {
                return;
            }
            boolean decoding = attempt.stage == Attempt.Stage.DECODE;
            long idleMicros = loop.nowMicros() - attempt.progressMicros;
            if (idleMicros > (decoding ? TOKEN_TIMEOUT_MICROS : PREFILL_TIMEOUT_MICROS)) {
                boolean prefilled = decoding || attempt.stage == Attempt.Stage.TRANSFER;
                ended(attempt, prefilled ? Ending.DECODE_FAILED : Ending.PREFILL_FAILED);
            } else {
                scheduleTimeoutCheck(attempt);
            }
        });
    }

    private void ended(Attempt attempt, Ending ending) {
        if (!attempt.isCurrent()) {
            return;
        }
        boolean unused = attempt.produced == 0
                && (attempt.stage == Attempt.Stage.PREFILLED
                        || attempt.stage == Attempt.Stage.TRANSFER
                        || attempt.stage == Attempt.Stage.DECODE);
        if (unused) {
            fleet.prefillCounter.wasted(attempt.computedTokens);
        }
        attempt.stage = Attempt.Stage.ENDED;
        attempt.prefill.cancel(attempt);
        loop.afterOrNow(hostHopMicros(attempt, attempt.decode.dataCentre), () -> attempt.decode.release(attempt));
        onEnded(attempt, ending);
        SimRequest request = attempt.request;
        if (ending == Ending.FINISHED) {
            request.finished = true;
        } else if (ending == Ending.DECODE_FULL) {
            place(request);
        } else if (retryBudgets.get(request.host).tryRetry(request.id, request.kind)) {
            place(request);
        } else {
            request.failed = true;
        }
        if (request.isAnswered()) {
            retryBudgets.get(request.host).requestEnded(request.id);
        }
    }
}
