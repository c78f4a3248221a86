package org.guavathread.core.placement;

import org.guavathread.core.id.BackendServerId;

/**
 * A measurement of the load of an engine.
 *
 * @param engine the engine
 * @param takenAtMillis when the engine measured it: the time of arrival minus the reported age
 * @param memoryPieces size of its decode memory in pieces
 * @param usedPieces pieces in use or reserved
 * @param queueTokens prompt tokens that wait for prefill
 */
public record LoadReport(
        BackendServerId engine, long takenAtMillis, int memoryPieces, int usedPieces, int queueTokens) {}
