package org.guavathread.router.backend;

/**
 * The result of a prefill. The engine keeps the KV cache only for a short time.
 *
 * @param handle identifies the KV cache on its engine
 * @param promptTokens length of the prompt in tokens
 * @param cachedTokens number of prompt tokens found in the prefix cache
 * @param kvBytes size of the KV cache in bytes
 */
public record PrefillResult(String handle, int promptTokens, int cachedTokens, long kvBytes) {}
