package org.guavathread.core.dispatch;

/**
 * One part of the prompt of a language request, as the caller states it. Requests may share parts.
 *
 * @param id its id; equal for equal contents
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
