package org.guavathread.core.placement;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.sheet.BackendKind;

/** The engines of a cell and the choice among them. */
final class EnginePool {

    /** Safety margin before a prefill engine drops a result, for messages and estimation errors. */
    private static final long KEEP_MARGIN_MILLIS = 200;

    /** Prefers a prefill engine in the data centre of the decode engine where the estimates are equal. */
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
     * A pair of engines for a request.
     *
     * @param decode the decode engine
     * @param prefill the prefill engine
     * @param uncachedTokens estimated prompt tokens to compute
     * @param transferEndMillis estimated end of the transfer
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

    /** Adds up the memory of the decode engines that may get new work. */
    int usableMemory(long nowMillis) {
        return decodes.values().stream()
                .filter(d -> d.usable(nowMillis, settings.reportStaleMillis()))
                .mapToInt(DecodeLedger::memoryPieces)
                .sum();
    }

    /** Tells whether any decode engine of the cell is large enough, free or not; true while none is known. */
    boolean couldHold(int pieces) {
        return decodes.isEmpty() || decodes.values().stream().anyMatch(d -> d.memoryPieces() >= pieces);
    }

    /** Estimates prefill and transfer on idle engines. */
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
     * Chooses the decode engine first, then the prefill engine; returns null if either has to wait. A request that
     * waits for memory keeps the engine with the most room, so that smaller requests cannot take it piece by piece.
     *
     * @param yields whether room must stay free on the decode engine for other requests
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

    /** Tells whether any prefill engine can take work now. */
    boolean prefillFree(long nowMillis) {
        return prefills.values().stream().anyMatch(p -> takesWork(p, nowMillis));
    }

    private boolean takesWork(PrefillBoard board, long nowMillis) {
        return board.freeAtMillis(nowMillis) - nowMillis <= settings.prefillLookaheadMillis()
                && !board.isStalled(nowMillis)
                && board.usable(nowMillis, settings.reportStaleMillis());
    }

    /** Gives when a prefill engine can take work without a further event, or {@code Long.MAX_VALUE}. */
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

    /** A kilobyte at one megabyte a second takes one millisecond. */
    private long transferMillis(int tokens, int megabytesPerSecond) {
        return megabytesPerSecond <= 0 ? 0 : (long) tokens * settings.kilobytesPerToken() / megabytesPerSecond + 1;
    }
}
