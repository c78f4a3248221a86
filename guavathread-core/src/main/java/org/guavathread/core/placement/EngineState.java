package org.guavathread.core.placement;

/** Whether an engine may get new work, from the sheet, from failures and from the age of its load report. */
abstract class EngineState {

    private static final long NEVER = Long.MIN_VALUE;

    private EngineSpec spec;
    private boolean leaving;
    private long reportTakenAtMillis = NEVER;
    private long failedAtMillis = NEVER;
    private long linkBusyUntilMillis;

    EngineState(EngineSpec spec) {
        this.spec = spec;
    }

    EngineSpec spec() {
        return spec;
    }

    void spec(EngineSpec value) {
        spec = value;
        leaving = false;
    }

    void leave() {
        leaving = true;
    }

    /** Excludes the engine until a load report that was taken later shows that it works. */
    void fail(long nowMillis) {
        failedAtMillis = nowMillis;
    }

    boolean usable(long nowMillis, long staleMillis) {
        return !leaving
                && reportTakenAtMillis != NEVER
                && reportTakenAtMillis > failedAtMillis
                && nowMillis - reportTakenAtMillis <= staleMillis;
    }

    /** Returns false for a report that is older than the newest one. */
    boolean reported(LoadReport report) {
        if (reportTakenAtMillis != NEVER && report.takenAtMillis() <= reportTakenAtMillis) {
            return false;
        }
        reportTakenAtMillis = report.takenAtMillis();
        return true;
    }

    long linkBusyUntilMillis() {
        return linkBusyUntilMillis;
    }

    void linkBusyUntilMillis(long millis) {
        linkBusyUntilMillis = millis;
    }
}
