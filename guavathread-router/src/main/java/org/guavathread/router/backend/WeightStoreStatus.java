package org.guavathread.router.backend;

/**
 * Status of the weight store.
 *
 * @param bytesPerSecond rate that all readers share
 * @param activeReads number of active reads
 */
public record WeightStoreStatus(long bytesPerSecond, int activeReads) {}
