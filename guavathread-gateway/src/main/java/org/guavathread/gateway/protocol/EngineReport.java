package org.guavathread.gateway.protocol;

import org.guavathread.core.registry.EngineStage;

/**
 * An engine's report about its role and the orders that it received; up to a second old.
 *
 * @param stage the engine's current stage
 * @param isBusy whether the engine is executing an order
 * @param ordersTaken number of orders that the engine has accepted since its start
 */
public record EngineReport(EngineStage stage, boolean isBusy, long ordersTaken) {}
