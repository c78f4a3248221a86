package org.guavathread.core.publish;

/**
 * A point in the store's history. Revisions grow within an epoch. A store that returns from an older copy begins the next
 * epoch, in which it assigns the revisions after that copy again.
 *
 * @param epoch number of the epoch; 0 for a store that names none
 * @param revision the store's revision within the epoch; 0 before the first change
 */
public record StorePosition(long epoch, long revision) {}
