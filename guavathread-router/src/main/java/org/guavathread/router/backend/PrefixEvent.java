package org.guavathread.router.backend;

/**
 * A change of an engine's prefix cache.
 *
 * @param sequence sequence number of the event; a gap in the sequence means a lost event
 * @param stored true if the prefix was stored, false if it was evicted
 * @param prefixHash hash of the prefix
 */
public record PrefixEvent(long sequence, boolean stored, long prefixHash) {}
