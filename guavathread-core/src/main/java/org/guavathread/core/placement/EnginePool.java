package org.guavathread.core.placement;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.sheet.BackendKind;

/** Holds the engines of a cell and chooses a decode and a prefill engine for each request. */
final class EnginePool {

    /** Margin before a prefill engine discards a result; covers message delays and estimation errors. */
    private static final long RETENTION_MARGIN_MILLIS = 200;

    /** Penalty that makes a prefill engine in the data centre of the decode engine win when estimates are equal. */
    private static final long OTHER_DATA_CENTRE_PENALTY_MILLIS = 2;

    private final PlacementSettings settings;
    private final PrefixIndex prefixes;
    private final Map<BackendServerId, DecodeLedger> decodes = new LinkedHashMap<>();
    private final Map<BackendServerId, PrefillBacklog> prefills = new LinkedHashMap<>();

    EnginePool(PlacementSettings settings, PrefixIndex prefixes) {
        this.settings = settings;
        this.prefixes = prefixes;
    }

    /**
     * The engines chosen for a request.
     *
     * @param decode the decode engine
     * @param prefill the prefill engine
     * @param uncachedTokens estimated prompt tokens that are not in the prefix cache
     * @param transferEndMillis estimated end of the KV cache transfer
     */
    record Choice(DecodeLedger decode, PrefillBacklog prefill, int uncachedTokens, long transferEndMillis) {}

    void add(EngineSpec spec) {
        EngineState known = get(spec.id());
        if (known != null) {
            known.spec(spec);
        } else if (spec.kind() == BackendKind.DECODE) {
            decodes.put(spec.id(), new DecodeLedger(spec));
        } else if (spec.kind() == BackendKind.PREFILL) {
            prefills.put(spec.id(), new PrefillBacklog(spec, settings.prefillTokensPerMilli()));
        } else {
            throw new IllegalArgumentException("The backend server " + spec.id() + " is a "
                    + spec.kind().sheetName() + "; a cell holds prefill and decode engines only.");
        }
    }

    void remove(BackendServerId engine) {
        decodes.remove(engine);
        prefills.remove(engine);
    }

    EngineState get(BackendServerId engine) {
        DecodeLedger decode = decodes.get(engine);
        return decode != null ? decode : prefills.get(engine);
    }

    DecodeLedger decode(BackendServerId engine) {
        return decodes.get(engine);
    }

    PrefillBacklog prefill(BackendServerId engine) {
        return prefills.get(engine);
    }

    Collection<DecodeLedger> decodes() {
        return decodes.values();
    }

    /** Returns the total memory, in pieces, of the decode engines that accept new work. */
    int usableMemory(long nowMillis) {
        return decodes.values().stream()
                .filter(d -> d.usable(nowMillis, settings.reportStaleMillis()))
                .mapToInt(DecodeLedger::memoryPieces)
                .sum();
    }

    /** Returns whether any decode engine is large enough, free or not; true if the cell has no decode engine. */
    boolean fitsAnyEngine(int pieces) {
        return decodes.isEmpty() || decodes.values().stream().anyMatch(d -> d.memoryPieces() >= pieces);
    }

    /** Estimates the time for prefill and transfer on idle engines. */
    long serviceMillis(int promptTokens) {
        long prefill = prefills.isEmpty()
                ? promptTokens / settings.prefillTokensPerMilli()
                : prefills.values().iterator().next().estimateMillis(promptTokens);
        int rate = decodes.isEmpty()
                ? 0
                : decodes.values().iterator().next().spec().linkMegabytesPerSecond();
        return prefill + transferMillis(promptTokens, rate);
    }

    /**
     * Chooses the decode engine first, then the prefill engine; returns null if none of either kind is available. If
     * memory is missing, the engine with the largest free share is held back for the request, because smaller requests
     * would otherwise take its memory as it becomes free.
     *
     * @param needsHeadroom whether headroom for other requests must stay free on the decode engine
     * @param heldBack engines that are held back for requests earlier in the queue; this call may add one
     */
    Choice choose(FairQueue.Item item, boolean needsHeadroom, Set<DecodeLedger> heldBack, long nowMillis) {
        DecodeLedger decode = withMostFreeMemory(
                item.pieces() + (needsHeadroom ? settings.headroomPieces() : 0), heldBack, nowMillis);
        if (decode != null) {
            return withPrefill(decode, item.request(), nowMillis);
        }
        if (needsHeadroom) {
            return null;
        }
        DecodeLedger toHoldBack = withMostFreeMemory(Integer.MIN_VALUE, heldBack, nowMillis);
        if (toHoldBack != null) {
            heldBack.add(toHoldBack);
        }
        return null;
    }

    /** Returns whether any prefill engine accepts work now. */
    boolean prefillAvailable(long nowMillis) {
        return prefills.values().stream().anyMatch(p -> acceptsWork(p, nowMillis));
    }

    private boolean acceptsWork(PrefillBacklog backlog, long nowMillis) {
        return backlog.freeAtMillis(nowMillis) - nowMillis <= settings.prefillLookaheadMillis()
                && !backlog.isStalled(nowMillis)
                && backlog.usable(nowMillis, settings.reportStaleMillis());
    }

    /** Returns when the next busy prefill engine is expected to accept work, or {@code Long.MAX_VALUE}. */
    long nextPrefillAtMillis(long nowMillis) {
        long next = Long.MAX_VALUE;
        for (PrefillBacklog backlog : prefills.values()) {
            long at = backlog.freeAtMillis(nowMillis) - settings.prefillLookaheadMillis();
            if (at > nowMillis && backlog.usable(nowMillis, settings.reportStaleMillis())) {
                next = Math.min(next, at);
            }
        }
        return next;
    }

    int uncachedTokens(PrefillBacklog backlog, PlaceRequest request) {
        double blocks =
                prefixes.match(backlog.spec().id(), request.prefixHashes()).expectedBlocks();
        long cached = Math.round(blocks * settings.tokensPerPrefixBlock());
        return (int) Math.max(1, request.promptTokens() - cached);
    }

    private DecodeLedger withMostFreeMemory(int pieces, Set<DecodeLedger> heldBack, long nowMillis) {
        DecodeLedger best = null;
        for (DecodeLedger ledger : decodes.values()) {
            if (heldBack.contains(ledger)
                    || ledger.freePieces() < pieces
                    || !ledger.usable(nowMillis, settings.reportStaleMillis())) {
                continue;
            }
            if (best == null || freeShare(ledger) > freeShare(best)) {
                best = ledger;
            }
        }
        return best;
    }

    private static double freeShare(DecodeLedger ledger) {
        return ledger.freePieces() / (double) ledger.memoryPieces();
    }

    private Choice withPrefill(DecodeLedger decode, PlaceRequest request, long nowMillis) {
        Choice best = null;
        long bestCost = Long.MAX_VALUE;
        for (PrefillBacklog backlog : prefills.values()) {
            if (!acceptsWork(backlog, nowMillis)) {
                continue;
            }
            long freeAt = backlog.freeAtMillis(nowMillis);
            int uncached = uncachedTokens(backlog, request);
            long prefillEnd = freeAt + backlog.estimateMillis(uncached);
            long transferEnd = transferEnd(backlog, decode, request.promptTokens(), prefillEnd);
            boolean resultRetained =
                    transferEnd - prefillEnd <= settings.prefillRetentionMillis() - RETENTION_MARGIN_MILLIS;
            long cost = transferEnd
                    + (backlog.spec().dataCentre().equals(decode.spec().dataCentre())
                            ? 0
                            : OTHER_DATA_CENTRE_PENALTY_MILLIS);
            if (resultRetained && cost < bestCost) {
                best = new Choice(decode, backlog, uncached, transferEnd);
                bestCost = cost;
            }
        }
        return best;
    }

    private long transferEnd(PrefillBacklog backlog, DecodeLedger decode, int promptTokens, long prefillEnd) {
        int rate =
                Math.min(backlog.spec().linkMegabytesPerSecond(), decode.spec().linkMegabytesPerSecond());
        long start = prefillEnd;
        for (EngineState each : List.of(backlog, decode)) {
            start = Math.max(start, each.linkBusyUntilMillis());
        }
        return start + transferMillis(promptTokens, rate);
    }

    /** Kilobytes divided by megabytes per second give milliseconds; adds 1 ms to round up. */
    private long transferMillis(int tokens, int megabytesPerSecond) {
        return megabytesPerSecond <= 0 ? 0 : (long) tokens * settings.kilobytesPerToken() / megabytesPerSecond + 1;
    }
}
