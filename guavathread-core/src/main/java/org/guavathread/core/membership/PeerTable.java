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
 * Follows which peers answer. It watches a bounded set: the partners with which this host shares ownership, filled up
 * with random hosts, so that news reaches everyone without all-to-all traffic.
 *
 * <pre>{@code
 * table.onTick(now).forEach(host -> peers.send(host, new Heartbeat(ownReport)));
 * }</pre>
 */
public final class PeerTable {

    /** Largest number of hosts that get heartbeats from one host. */
    public static final int MAX_WATCHED = 32;

    /** Silence after which a peer is suspect, in milliseconds; three lost heartbeats. */
    public static final long SUSPECT_AFTER_MILLIS = 3_000;

    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final int RANDOM_PEERS = 4;

    /** Changing random peers each 10 s lets every host be probed without counting them as suspect for one lost answer. */
    private static final long RANDOM_ROUND_MILLIS = 10_000;

    /** A longer gap between two ticks means that this host was paused, so that silence says nothing about the peers. */
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
    private long heardAnyAtMillis = Long.MIN_VALUE / 2;
    private boolean targetsChanged;

    /**
     * Builds an empty table.
     *
     * @param self this host
     * @param random source of the random peers
     */
    public PeerTable(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /**
     * Takes the hosts of the sheet in force. Hosts that it does not list are forgotten.
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
     * Takes the hosts that this host must watch because they share ownership with it.
     *
     * @param hosts the hosts, most important first; those beyond the bound are left out
     */
    public void setPartners(Collection<HostId> hosts) {
        partners = List.copyOf(hosts);
        targetsChanged = true;
    }

    /**
     * Gives the hosts that are due for a heartbeat. To be called several times a second.
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
     * @param count how many at most
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
     * Takes a heartbeat or its answer.
     *
     * @param from the peer
     * @param report what it says
     * @param nowMillis the current time
     * @return true if the peer has restarted since it was last heard of; reports of earlier runs are ignored
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
        heardAnyAtMillis = nowMillis;
        return known != null && report.incarnation().isAfter(known.report().incarnation());
    }

    /**
     * Tells whether a peer answers.
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
        if (peer != null && nowMillis - peer.heardAtMillis() < SUSPECT_AFTER_MILLIS) {
            return PeerStatus.ALIVE;
        }
        return suspectSinceMillis(host, nowMillis).isPresent() ? PeerStatus.SUSPECT : PeerStatus.UNKNOWN;
    }

    /**
     * Tells since when a peer is suspect.
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
        long heard = peer == null ? watchedSince : Math.max(peer.heardAtMillis(), watchedSince);
        long since = heard + SUSPECT_AFTER_MILLIS;
        return nowMillis >= since ? OptionalLong.of(since) : OptionalLong.empty();
    }

    /**
     * Tells whether callers may be sent to a peer and new work may be given to it.
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
     * Gives what is known of a peer.
     *
     * @param host the peer
     * @return its newest report, or empty if it was never heard of
     */
    public Optional<Peer> peer(HostId host) {
        return Optional.ofNullable(peers.get(host));
    }

    /**
     * Gives the newest version of the sheet that a peer has in force.
     *
     * @return the version; {@link SheetVersion#NONE} if no peer was heard of
     */
    public SheetVersion newestVersionHeard() {
        return peers.values().stream()
                .map(p -> p.report().sheetVersion())
                .max(SheetVersion::compareTo)
                .orElse(SheetVersion.NONE);
    }

    /**
     * Gives when any peer was last heard of, for the rule on isolated hosts.
     *
     * @return milliseconds; a time far in the past if none ever was
     */
    public long heardAnyAtMillis() {
        return heardAnyAtMillis;
    }

    /**
     * Lists the peers that get heartbeats now.
     *
     * @return at most {@link #MAX_WATCHED} hosts
     */
    public Set<HostId> watched() {
        return Set.copyOf(watchedSinceMillis.keySet());
    }
}
