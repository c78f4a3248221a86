package org.guavathread.router.backend;

/**
 * State of the weight store.
 *
 * @param bytesPerSecond rate that all readers share
 * @param activeReads number of reads that are running
 */
public record WeightStoreStatus(long bytesPerSecond, int activeReads) {}
