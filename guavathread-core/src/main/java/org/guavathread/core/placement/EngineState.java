package org.guavathread.core.placement;

/** Decides whether an engine may get new work, by the sheet, its failures and the age of its last load report. */
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

    /** Excludes the engine from new work until a load report taken after the failure arrives. */
    void fail(long nowMillis) {
        failedAtMillis = nowMillis;
    }

    boolean usable(long nowMillis, long staleMillis) {
        return !leaving
                && reportTakenAtMillis != NEVER
                && reportTakenAtMillis > failedAtMillis
                && nowMillis - reportTakenAtMillis <= staleMillis;
    }

    /** Returns false if the report is not newer than the last one. */
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
