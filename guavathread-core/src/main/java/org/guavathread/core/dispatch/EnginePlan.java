package org.guavathread.core.dispatch;

import java.util.Optional;

import org.guavathread.core.registry.Worker;

/**
 * The engines on which a language request is prefilled and decoded.
 *
 * @param prefill the prefill engine, or empty if the decode engine processes the prompt itself
 * @param decode the decode engine
 * @param expectedMillis expected time until the first token, in milliseconds
 */
public record EnginePlan(Optional<Worker> prefill, Worker decode, double expectedMillis) {}
