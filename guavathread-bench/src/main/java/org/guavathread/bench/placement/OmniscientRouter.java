package org.guavathread.bench.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.guavathread.core.placement.PlaceRelease.Ending;
import org.guavathread.core.request.RequestKind;

/**
 * One queue for all hosts with the exact state of all engines, exact output lengths and no message delay. It serves in
 * order of arrival, urgent kinds first and requests that cannot meet the target last, and skips a request that does not
 * fit.
 */
final class OmniscientRouter extends Router {

    private final List<SimRequest> queue = new ArrayList<>();
    private boolean dispatching;

    OmniscientRouter(Fleet fleet) {
        super(fleet);
    }

    @Override
    void start(long untilMicros) {
        loop.every(5_000, untilMicros, this::dispatch);
    }

    @Override
    long hostHopMicros(Attempt attempt, int engineDataCentre) {
        return 0;
    }

    @Override
    void place(SimRequest request) {
        queue.add(request);
        dispatch();
    }

    @Override
    void onPrefillDone(Attempt attempt) {
        loop.after(0, this::dispatch);
    }

    @Override
    void onEnded(Attempt attempt, Ending ending) {
        loop.after(0, this::dispatch);
    }

    private void dispatch() {
        if (dispatching) {
            return;
        }
        dispatching = true;
        queue.removeIf(r -> {
            r.refused = r.deadlineMicros() <= loop.nowMicros();
            return r.refused;
        });
        List<SimRequest> order = new ArrayList<>(queue);
        order.sort(Comparator.comparingInt(this::priorityClass).thenComparingLong(r -> r.sentMicros));
        for (SimRequest request : order) {
            if (fleet.prefills.stream().noneMatch(p -> p.isIdle() && p.isResponsive())) {
                break;
            }
            FakeDecode decode = decodeFor(request);
            FakePrefill prefill = decode == null ? null : prefillFor(request);
            if (prefill != null) {
                queue.remove(request);
                run(request, prefill, decode, EngineModel.pieces(request.tokens()));
            }
        }
        dispatching = false;
    }

    private int priorityClass(SimRequest request) {
        long service = fleet.prefills.get(0).serviceMicros(request.remainingPrompt())
                + EngineModel.transferMicros(request.remainingPrompt())
                + EngineModel.STEP_FIXED_MICROS
                + fleet.deployment.clientMicros();
        boolean late = request.generated == 0
                && loop.nowMicros() + service > request.sentMicros + EngineModel.TARGET_FIRST_TOKEN_MICROS;
        if (late) {
            return 2;
        }
        return request.kind == RequestKind.DEFERRABLE ? 1 : 0;
    }

    private FakeDecode decodeFor(SimRequest request) {
        int pieces = EngineModel.pieces(request.tokens());
        return fleet.decodes.stream()
                .filter(d -> d.isResponsive() && d.free() >= pieces)
                .max(Comparator.comparingInt(FakeDecode::free))
                .orElse(null);
    }

    private FakePrefill prefillFor(SimRequest request) {
        return fleet.prefills.stream()
                .filter(p -> p.isResponsive() && p.isIdle())
                .max(Comparator.comparingInt(p -> p.cachedTokens(request)))
                .orElse(null);
    }
}
