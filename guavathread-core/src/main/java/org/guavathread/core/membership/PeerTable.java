package org.guavathread.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;

/**
 * Detects which peers are alive. It watches a bounded set: the partners, with which this host shares ownership, and a
 * few random hosts, so that updates reach every host without all-to-all traffic.
 *
 * <pre>{@code
 * table.onTick(now).forEach(host -> peers.send(host, new Heartbeat(ownReport)));
 * }</pre>
 */
public final class PeerTable {

    /** Largest number of hosts that get heartbeats from one host. */
    public static final int MAX_WATCHED = 32;

    /** Time without a report after which a peer is suspect, in milliseconds; three lost heartbeats. */
    public static final long SUSPECT_AFTER_MILLIS = 3_000;

    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final int RANDOM_PEERS = 4;

    /** Interval of choosing other random peers: all hosts get probed, and one lost answer does not make a peer suspect. */
    private static final long RANDOM_ROUND_MILLIS = 10_000;

    /** A longer gap between two ticks means that this host was paused, so that missing reports prove nothing about peers. */
    private static final long PAUSE_MILLIS = 1_000;

    private final HostId self;
    private final RandomGenerator random;
    private final Map<HostId, Peer> peers = new HashMap<>();
    private final Map<HostId, Long> watchedSinceMillis = new HashMap<>();
    private final Map<HostId, Long> sentAtMillis = new HashMap<>();
    private List<HostId> candidates = List.of();
    private List<HostId> partners = List.of();
    private Set<HostId> listed = Set.of();
    private Set<HostId> randomPeers = Set.of();
    private long randomRoundAtMillis = Long.MIN_VALUE / 2;
    private long lastTickMillis = Long.MIN_VALUE / 2;
    private long lastReportAtMillis = Long.MIN_VALUE / 2;
    private boolean targetsChanged;

    /**
     * Creates an empty table.
     *
     * @param self this host
     * @param random source of the random peers
     */
    public PeerTable(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /**
     * Updates the hosts from the sheet in force. Hosts that it does not list are removed.
     *
     * @param sheet the sheet
     */
    public void onSheet(Sheet sheet) {
        listed = new TreeSet<>(sheet.hosts().keySet());
        listed.remove(self);
        candidates = sheet.activeHosts().stream()
                .map(Host::id)
                .filter(listed::contains)
                .toList();
        peers.keySet().retainAll(listed);
        targetsChanged = true;
        randomRoundAtMillis = Long.MIN_VALUE / 2;
    }

    /**
     * Sets the hosts that this host must watch because they share ownership with it.
     *
     * @param hosts the hosts, most important first; those beyond the limit are left out
     */
    public void setPartners(Collection<HostId> hosts) {
        partners = List.copyOf(hosts);
        targetsChanged = true;
    }

    /**
     * Returns the hosts that are due for a heartbeat. Must be called several times a second.
     *
     * @param nowMillis the current time
     * @return hosts, at most {@link #MAX_WATCHED} within one second
     */
    public List<HostId> onTick(long nowMillis) {
        if (nowMillis - lastTickMillis > PAUSE_MILLIS) {
            watchedSinceMillis.replaceAll((host, since) -> nowMillis);
        }
        lastTickMillis = nowMillis;
        chooseWatched(nowMillis);
        List<HostId> due = new ArrayList<>();
        for (HostId host : new TreeSet<>(watchedSinceMillis.keySet())) {
            if (nowMillis - sentAtMillis.getOrDefault(host, nowMillis - HEARTBEAT_MILLIS) >= HEARTBEAT_MILLIS) {
                sentAtMillis.put(host, nowMillis);
                due.add(host);
            }
        }
        return due;
    }

    private void chooseWatched(long nowMillis) {
        boolean newRound = nowMillis - randomRoundAtMillis >= RANDOM_ROUND_MILLIS;
        if (!newRound && !targetsChanged) {
            return;
        }
        if (newRound) {
            randomRoundAtMillis = nowMillis;
            randomPeers = new TreeSet<>(sample(candidates, RANDOM_PEERS));
        }
        targetsChanged = false;
        Set<HostId> watched = new LinkedHashSet<>();
        partners.stream()
                .filter(listed::contains)
                .limit(MAX_WATCHED - RANDOM_PEERS)
                .forEach(watched::add);
        randomPeers.stream().filter(listed::contains).forEach(watched::add);
        watchedSinceMillis.keySet().retainAll(watched);
        sentAtMillis.keySet().retainAll(watched);
        watched.forEach(host -> watchedSinceMillis.putIfAbsent(host, nowMillis));
    }

    /**
     * Picks random active peers.
     *
     * @param count largest number of peers to pick
     * @return the peers
     */
    public List<HostId> randomPeers(int count) {
        return sample(candidates, count);
    }

    private List<HostId> sample(List<HostId> from, int count) {
        List<HostId> pool = new ArrayList<>(from);
        int picked = Math.min(count, pool.size());
        for (int i = 0; i < picked; i++) {
            Collections.swap(pool, i, i + random.nextInt(pool.size() - i));
        }
        return List.copyOf(pool.subList(0, picked));
    }

    /**
     * Handles a heartbeat or its answer.
     *
     * @param from the peer
     * @param report its report
     * @param nowMillis the current time
     * @return true if the peer has restarted since its last report; reports of earlier incarnations are ignored
     */
    public boolean onReport(HostId from, PeerReport report, long nowMillis) {
        if (!listed.contains(from)) {
            return false;
        }
        Peer known = peers.get(from);
        if (known != null && known.report().incarnation().isAfter(report.incarnation())) {
            return false;
        }
        peers.put(from, new Peer(from, report, nowMillis));
        lastReportAtMillis = nowMillis;
        return known != null && report.incarnation().isAfter(known.report().incarnation());
    }

    /**
     * Returns whether a peer is alive or suspect.
     *
     * @param host the peer
     * @param nowMillis the current time
     * @return its status
     */
    public PeerStatus status(HostId host, long nowMillis) {
        if (host.equals(self)) {
            return PeerStatus.ALIVE;
        }
        Peer peer = peers.get(host);
        if (peer != null && nowMillis - peer.receivedAtMillis() < SUSPECT_AFTER_MILLIS) {
            return PeerStatus.ALIVE;
        }
        return suspectSinceMillis(host, nowMillis).isPresent() ? PeerStatus.SUSPECT : PeerStatus.UNKNOWN;
    }

    /**
     * Returns the time since which a peer is suspect.
     *
     * @param host the peer
     * @param nowMillis the current time
     * @return a time in milliseconds, or empty if the peer is not suspect
     */
    public OptionalLong suspectSinceMillis(HostId host, long nowMillis) {
        Long watchedSince = watchedSinceMillis.get(host);
        if (watchedSince == null || nowMillis - lastTickMillis > PAUSE_MILLIS) {
            return OptionalLong.empty();
        }
        Peer peer = peers.get(host);
        long lastSeenMillis = peer == null ? watchedSince : Math.max(peer.receivedAtMillis(), watchedSince);
        long since = lastSeenMillis + SUSPECT_AFTER_MILLIS;
        return nowMillis >= since ? OptionalLong.of(since) : OptionalLong.empty();
    }

    /**
     * Tells whether callers may be referred to a peer and new work may be given to it.
     *
     * @param host the peer
     * @param nowMillis the current time
     * @return false if it is suspect or draining
     */
    public boolean isUsable(HostId host, long nowMillis) {
        Peer peer = peers.get(host);
        boolean draining = peer != null && peer.report().draining();
        return !draining && status(host, nowMillis) != PeerStatus.SUSPECT;
    }

    /**
     * Returns the latest report of a peer.
     *
     * @param host the peer
     * @return its latest report, or empty if none has arrived
     */
    public Optional<Peer> peer(HostId host) {
        return Optional.ofNullable(peers.get(host));
    }

    /**
     * Returns the newest version of the sheet that a peer has in force.
     *
     * @return the version; {@link SheetVersion#NONE} if no report has arrived
     */
    public SheetVersion newestPeerVersion() {
        return peers.values().stream()
                .map(p -> p.report().sheetVersion())
                .max(SheetVersion::compareTo)
                .orElse(SheetVersion.NONE);
    }

    /**
     * Returns when the last report of any peer arrived, to detect isolated hosts.
     *
     * @return milliseconds; a time far in the past if none has arrived
     */
    public long lastReportAtMillis() {
        return lastReportAtMillis;
    }

    /**
     * Returns the peers that currently get heartbeats.
     *
     * @return at most {@link #MAX_WATCHED} hosts
     */
    public Set<HostId> watched() {
        return Set.copyOf(watchedSinceMillis.keySet());
    }
}
