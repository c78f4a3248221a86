package org.guavathread.bench.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Baseline without reservations or queue: each host places requests on its own, immediately, round-robin or by
 * delayed load reports.
 */
final class NaiveRouter extends Router {

    /** An engine whose health checks have failed for this long is not chosen. */
    private static final long UNHEALTHY_MICROS = 3_000_000;

    private final boolean byLoad;
    private final Map<Object, Integer> reported = new HashMap<>();
    private final Map<Object, Long> answeredAt = new HashMap<>();
    private int nextPrefill;
    private int nextDecode;

    NaiveRouter(Fleet fleet, boolean byLoad) {
        super(fleet);
        this.byLoad = byLoad;
    }

    @Override
    void start(long untilMicros) {
        loop.every(Model.REPORT_EVERY_MICROS, untilMicros, () -> {
            fleet.prefills.forEach(p -> report(p, p.answers(), p.queueTokens()));
            fleet.decodes.forEach(d -> report(d, d.answers(), d.used()));
        });
    }

    private void report(Object engine, boolean answers, int load) {
        if (answers) {
            loop.after(Model.REPORT_LAG_MICROS, () -> {
                reported.put(engine, load);
                answeredAt.put(engine, loop.nowMicros());
            });
        }
    }

    @Override
    void place(SimRequest request) {
        FakePrefill prefill = pick(fleet.prefills, nextPrefill++);
        FakeDecode decode = pick(fleet.decodes, nextDecode++);
        if (prefill == null || decode == null) {
            request.refused = true;
            return;
        }
        run(request, prefill, decode, 0);
    }

    private <T> T pick(List<T> engines, int turn) {
        Predicate<T> healthy = e -> loop.nowMicros() - answeredAt.getOrDefault(e, 0L) < UNHEALTHY_MICROS;
        List<T> usable = engines.stream().filter(healthy).toList();
        if (usable.isEmpty()) {
            return null;
        }
        T best = usable.get(turn % usable.size());
        if (byLoad) {
            for (T each : usable) {
                if (reported.getOrDefault(each, 0) < reported.getOrDefault(best, 0)) {
                    best = each;
                }
            }
        }
        return best;
    }
}
