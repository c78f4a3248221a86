package org.guavathread.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SheetReadResult;

/**
 * The phase after a start in which a host asks its peers for the newest sheet before it puts one into force. Hosts that
 * start together forward the newest sheet that they have received, so that a version that is newer than that of the
 * configuration service spreads from one host to all of them, although each asks only a few.
 */
final class StartPhase {

    static final long DURATION_MILLIS = 2_000;

    /** How long a host asks the peers that it learns only from the first sheet. */
    static final long AFTER_FIRST_SHEET_MILLIS = 1_000;

    private static final long ASK_INTERVAL_MILLIS = 200;
    private static final long LATE_ASK_INTERVAL_MILLIS = 1_000;
    private static final int PEERS_ASKED_AT_ONCE = 4;

    /** How long peers are asked before the service is called, if no peer has sent a sheet. */
    private static final long PEERS_FIRST_MILLIS = 400;

    private final HostId self;
    private final RandomGenerator random;
    private final long startedAtMillis;
    private final Set<HostId> peers = new TreeSet<>();
    private final Set<HostId> answered = new HashSet<>();
    private SheetReadResult.Valid best;
    private String bestSource = "";
    private long firstSheetAtMillis;
    private long nextAskAtMillis;

    StartPhase(HostId self, RandomGenerator random, long nowMillis) {
        this.self = self;
        this.random = random;
        this.startedAtMillis = nowMillis;
        this.nextAskAtMillis = nowMillis;
    }

    void peers(Collection<HostId> hosts) {
        peers.addAll(hosts);
        peers.remove(self);
    }

    List<HostId> peersToAsk(long nowMillis) {
        if (nowMillis < nextAskAtMillis) {
            return List.of();
        }
        boolean early = nowMillis < startedAtMillis + DURATION_MILLIS;
        nextAskAtMillis = nowMillis + (early ? ASK_INTERVAL_MILLIS : LATE_ASK_INTERVAL_MILLIS);
        List<HostId> pool = new ArrayList<>(peers);
        pool.removeAll(answered);
        List<HostId> chosen = new ArrayList<>();
        List<HostId> answeredPool = new ArrayList<>(answered);
        while (chosen.size() < PEERS_ASKED_AT_ONCE && !(pool.isEmpty() && answeredPool.isEmpty())) {
            List<HostId> from = pool.isEmpty() ? answeredPool : pool;
            chosen.add(from.remove(random.nextInt(from.size())));
        }
        return chosen;
    }

    /** Records an answer. A peer without a sheet is asked again: it is starting too, and may get a newer sheet later. */
    void answered(HostId peer, boolean hasSheet) {
        if (hasSheet) {
            answered.add(peer);
        }
    }

    boolean addCandidate(SheetReadResult.Valid valid, String source, long nowMillis) {
        if (best != null && !valid.sheet().version().isNewerThan(best.sheet().version())) {
            return false;
        }
        if (best == null) {
            firstSheetAtMillis = nowMillis;
        }
        best = valid;
        bestSource = source;
        peers(valid.sheet().hosts().keySet());
        return true;
    }

    SheetReadResult.Valid best() {
        return best;
    }

    String bestSource() {
        return bestSource;
    }

    boolean mayReadService(long nowMillis) {
        return peers.isEmpty() || best == null && nowMillis >= startedAtMillis + PEERS_FIRST_MILLIS;
    }

    boolean isOver(long nowMillis) {
        if (best == null) {
            return false;
        }
        boolean timeUp = nowMillis >= startedAtMillis + DURATION_MILLIS
                && nowMillis >= firstSheetAtMillis + AFTER_FIRST_SHEET_MILLIS;
        return timeUp || answered.containsAll(peers);
    }
}
