package org.guavathread.standin;

import java.util.List;

/**
 * Settings that prefill and decode engines share.
 *
 * @param memoryPieces decode memory pieces
 * @param models models that are loaded at the start
 * @param checksOrders whether orders with an old fencing number are refused
 * @param startFencing fencing number at the start
 * @param loadLagMillis age of load reports in milliseconds
 * @param weightStore address from which models are loaded, or the empty text to load them at once
 */
record EngineSettings(
        int memoryPieces,
        List<String> models,
        boolean checksOrders,
        long startFencing,
        long loadLagMillis,
        String weightStore) {}
