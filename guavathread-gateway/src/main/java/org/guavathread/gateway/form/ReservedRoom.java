package org.guavathread.gateway.form;

import org.guavathread.core.registry.Worker;

/**
 * Memory that an engine has reserved for one request.
 *
 * @param engine the engine
 * @param lease the engine's id of the reservation; valid for one use
 * @param expiresAtMillis when the engine releases the reservation
 */
public record ReservedRoom(Worker engine, String lease, long expiresAtMillis) {}
