package org.guavathread.gateway.protocol;

import org.guavathread.core.registry.Worker;

/**
 * The result of a prefill: a KV cache that a prefill engine holds for transfer.
 *
 * @param engine the engine that holds the KV cache
 * @param handle the engine's handle of the KV cache; valid for one transfer
 * @param completedAtMillis when the prefill completed
 */
public record PrefillResult(Worker engine, String handle, long completedAtMillis) {}
