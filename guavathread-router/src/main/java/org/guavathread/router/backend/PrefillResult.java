package org.guavathread.router.backend;

/**
 * The result of a prefill. The engine keeps its KV cache for a short time only.
 *
 * @param handle names the KV cache on its engine
 * @param promptTokens length of the prompt in tokens
 * @param cachedTokens tokens of the prompt that were found in the prefix cache
 * @param kvBytes length of the KV cache in bytes
 */
public record PrefillResult(String handle, int promptTokens, int cachedTokens, long kvBytes) {}
