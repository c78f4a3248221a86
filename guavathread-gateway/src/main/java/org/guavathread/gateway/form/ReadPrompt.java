package org.guavathread.gateway.form;

import org.guavathread.core.registry.Worker;

/**
 * The result of a prefill: a KV cache that a prefill engine holds for transfer.
 *
 * @param engine the engine that holds the KV cache
 * @param handle the engine's handle of the KV cache; valid for one transfer
 * @param readAtMillis when the prefill completed
 */
public record ReadPrompt(Worker engine, String handle, long readAtMillis) {}
