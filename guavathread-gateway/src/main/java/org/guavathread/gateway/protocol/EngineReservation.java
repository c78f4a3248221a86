package org.guavathread.gateway.protocol;

import org.guavathread.core.registry.Worker;

/**
 * Memory that an engine has reserved for one request.
 *
 * @param engine the engine
 * @param reservationId the engine's id of the reservation; valid for one use
 * @param expiresAtMillis when the engine releases the reservation
 */
public record EngineReservation(Worker engine, String reservationId, long expiresAtMillis) {}
