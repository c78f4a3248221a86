package org.guavathread.core.placement;

/**
 * Hash of a prompt from its start to the end of one block.
 *
 * @param value the hash; equal prefixes have equal values on all engines of a model
 */
public record PrefixHash(long value) {}
