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
    private static final long KEEP_MARGIN_MILLIS = 200;

    /** Penalty that makes a prefill engine in the data centre of the decode engine win when estimates are equal. */
    private static final long OTHER_DATA_CENTRE_MILLIS = 2;

    private final PlacementSettings settings;
    private final PrefixIndex prefixes;
    private final Map<BackendServerId, DecodeLedger> decodes = new LinkedHashMap<>();
    private final Map<BackendServerId, PrefillBoard> prefills = new LinkedHashMap<>();

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
    record Choice(DecodeLedger decode, PrefillBoard prefill, int uncachedTokens, long transferEndMillis) {}

    void add(EngineSpec spec) {
        EngineState known = get(spec.id());
        if (known != null) {
            known.spec(spec);
        } else if (spec.kind() == BackendKind.DECODE) {
            decodes.put(spec.id(), new DecodeLedger(spec));
        } else if (spec.kind() == BackendKind.PREFILL) {
            prefills.put(spec.id(), new PrefillBoard(spec, settings.prefillTokensPerMilli()));
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

    PrefillBoard prefill(BackendServerId engine) {
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
    boolean couldHold(int pieces) {
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
     * @param yields whether headroom for other requests must stay free on the decode engine
     * @param kept engines that are held back for requests earlier in the queue; this call may add one
     */
    Choice choose(FairQueue.Item item, boolean yields, Set<DecodeLedger> kept, long nowMillis) {
        DecodeLedger decode = roomiest(item.pieces() + (yields ? settings.headroomPieces() : 0), kept, nowMillis);
        if (decode != null) {
            return withPrefill(decode, item.request(), nowMillis);
        }
        if (yields) {
            return null;
        }
        DecodeLedger toKeep = roomiest(Integer.MIN_VALUE, kept, nowMillis);
        if (toKeep != null) {
            kept.add(toKeep);
        }
        return null;
    }

    /** Returns whether any prefill engine accepts work now. */
    boolean prefillFree(long nowMillis) {
        return prefills.values().stream().anyMatch(p -> takesWork(p, nowMillis));
    }

    private boolean takesWork(PrefillBoard board, long nowMillis) {
        return board.freeAtMillis(nowMillis) - nowMillis <= settings.prefillLookaheadMillis()
                && !board.isStalled(nowMillis)
                && board.usable(nowMillis, settings.reportStaleMillis());
    }

    /** Returns when the next busy prefill engine is expected to accept work, or {@code Long.MAX_VALUE}. */
    long nextPrefillAtMillis(long nowMillis) {
        long next = Long.MAX_VALUE;
        for (PrefillBoard board : prefills.values()) {
            long at = board.freeAtMillis(nowMillis) - settings.prefillLookaheadMillis();
            if (at > nowMillis && board.usable(nowMillis, settings.reportStaleMillis())) {
                next = Math.min(next, at);
            }
        }
        return next;
    }

    int uncachedTokens(PrefillBoard board, PlaceRequest request) {
        double blocks =
                prefixes.match(board.spec().id(), request.prefixHashes()).expectedBlocks();
        long cached = Math.round(blocks * settings.tokensPerPrefixBlock());
        return (int) Math.max(1, request.promptTokens() - cached);
    }

    private DecodeLedger roomiest(int pieces, Set<DecodeLedger> kept, long nowMillis) {
        DecodeLedger best = null;
        for (DecodeLedger ledger : decodes.values()) {
            if (kept.contains(ledger)
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
        for (PrefillBoard board : prefills.values()) {
            if (!takesWork(board, nowMillis)) {
                continue;
            }
            long freeAt = board.freeAtMillis(nowMillis);
            int uncached = uncachedTokens(board, request);
            long prefillEnd = freeAt + board.estimateMillis(uncached);
            long transferEnd = transferEnd(board, decode, request.promptTokens(), prefillEnd);
            boolean keptLongEnough = transferEnd - prefillEnd <= settings.prefillKeepMillis() - KEEP_MARGIN_MILLIS;
            long cost = transferEnd
                    + (board.spec().dataCentre().equals(decode.spec().dataCentre()) ? 0 : OTHER_DATA_CENTRE_MILLIS);
            if (keptLongEnough && cost < bestCost) {
                best = new Choice(decode, board, uncached, transferEnd);
                bestCost = cost;
            }
        }
        return best;
    }

    private long transferEnd(PrefillBoard board, DecodeLedger decode, int promptTokens, long prefillEnd) {
        int rate = Math.min(board.spec().linkMegabytesPerSecond(), decode.spec().linkMegabytesPerSecond());
        long start = prefillEnd;
        for (EngineState each : List.of(board, decode)) {
            start = Math.max(start, each.linkBusyUntilMillis());
        }
        return start + transferMillis(promptTokens, rate);
    }

    /** Kilobytes divided by megabytes per second give milliseconds; adds 1 ms to round up. */
    private long transferMillis(int tokens, int megabytesPerSecond) {
        return megabytesPerSecond <= 0 ? 0 : (long) tokens * settings.kilobytesPerToken() / megabytesPerSecond + 1;
    }
}
