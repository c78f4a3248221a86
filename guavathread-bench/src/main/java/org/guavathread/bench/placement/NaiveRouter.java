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
    private static final long UNHEALTHY_AFTER_MICROS = 3_000_000;

    private final boolean byLoad;
    private final Map<Object, Integer> reportedLoads = new HashMap<>();
    private final Map<Object, Long> lastReportMicros = new HashMap<>();
    private int nextPrefill;
    private int nextDecode;

    NaiveRouter(Fleet fleet, boolean byLoad) {
        super(fleet);
        this.byLoad = byLoad;
    }

    @Override
    void start(long untilMicros) {
        loop.every(EngineModel.REPORT_INTERVAL_MICROS, untilMicros, () -> {
            fleet.prefills.forEach(p -> report(p, p.isResponsive(), p.queueTokens()));
            fleet.decodes.forEach(d -> report(d, d.isResponsive(), d.used()));
        });
    }

    private void report(Object engine, boolean responsive, int load) {
        if (responsive) {
            loop.after(EngineModel.REPORT_LAG_MICROS, () -> {
                reportedLoads.put(engine, load);
                lastReportMicros.put(engine, loop.nowMicros());
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

    private <T> T pick(List<T> engines, int index) {
        Predicate<T> healthy = e -> loop.nowMicros() - lastReportMicros.getOrDefault(e, 0L) < UNHEALTHY_AFTER_MICROS;
        List<T> usable = engines.stream().filter(healthy).toList();
        if (usable.isEmpty()) {
            return null;
        }
        T best = usable.get(index % usable.size());
        if (byLoad) {
            for (T each : usable) {
                if (reportedLoads.getOrDefault(each, 0) < reportedLoads.getOrDefault(best, 0)) {
                    best = each;
                }
            }
        }
        return best;
    }
}
