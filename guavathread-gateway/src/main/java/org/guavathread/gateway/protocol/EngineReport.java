package org.guavathread.gateway.protocol;

import java.util.List;
import java.util.OptionalLong;

import org.guavathread.core.registry.EngineStage;

/**
 * An engine's report about its role, the orders that it received and what it runs; up to a second old.
 *
 * @param stage the engine's current stage
 * @param isBusy whether the engine is executing an order
 * @param ordersTaken number of orders that the engine has accepted since its start
 * @param streams attempt ids of the running requests of which it has made events
 * @param startedAtMillis start time of the process that reports, in milliseconds since the epoch by its own clock; empty if
 *     it does not state one
 */
public record EngineReport(
        EngineStage stage, boolean isBusy, long ordersTaken, List<String> streams, OptionalLong startedAtMillis) {

    /** Copies the list. */
    public EngineReport {
        streams = List.copyOf(streams);
    }
}
