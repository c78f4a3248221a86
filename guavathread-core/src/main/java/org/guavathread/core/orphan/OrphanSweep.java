package org.guavathread.core.orphan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RequestId;

/**
 * Compares the request lists of engines with the requests that exist.
 *
 * <p>A host lists the engines that it used lately, and a cell owner lists the engines of its cells. Listing all engines
 * from all hosts would be 266,000 calls a second at 410 hosts and 1,300 workers. The owner covers hosts that died or
 * restarted, because a restarted host does not know which engines it used.
 */
public final class OrphanSweep {

    private static final long LIST_EVERY_MILLIS = 2_000;

    /** An engine is listed this long after its last use, which gives several tries after a lost cancellation. */
    private static final long USED_MILLIS = 20_000;

    /** A silent host may still act, so its requests are cancelled later than it becomes suspect. */
    private static final long SUSPECT_MILLIS = 5_000;

    private final HostId self;
    private final Incarnation incarnation;
    private final TreeMap<BackendServerId, Long> usedAt = new TreeMap<>();
    private final Map<HostId, Long> suspectSince = new HashMap<>();
    private final Map<HostId, Incarnation> newest = new HashMap<>();
    private Set<BackendServerId> owned = Set.of();
    private long nextListAtMillis;

    /**
     * Creates a sweep.
     *
     * @param self this host
     * @param incarnation this run of its process
     */
    public OrphanSweep(HostId self, Incarnation incarnation) {
        this.self = self;
        this.incarnation = incarnation;
        newest.put(self, incarnation);
    }

    /**
     * Records that this host sends work to an engine.
     *
     * @param engine the engine
     * @param nowMillis the current time
     */
    public void engineUsed(BackendServerId engine, long nowMillis) {
        usedAt.put(engine, nowMillis);
    }

    /**
     * Sets the engines of the cells that this host owns.
     *
     * @param engines the engines
     */
    public void ownedEngines(Set<BackendServerId> engines) {
        owned = Set.copyOf(engines);
    }

    /**
     * Records that a host is suspect; repeated calls keep the first time.
     *
     * @param host the host
     * @param nowMillis the current time
     */
    public void hostSuspect(HostId host, long nowMillis) {
        suspectSince.putIfAbsent(host, nowMillis);
    }

    /**
     * Records that a host answers.
     *
     * @param host the host
     * @param run the run of its process
     */
    public void hostAlive(HostId host, Incarnation run) {
        suspectSince.remove(host);
        newest.merge(host, run, (a, b) -> b.isAfter(a) ? b : a);
    }

    /**
     * Gives the engines to list now.
     *
     * @param nowMillis the current time
     * @return the engines; empty if no list is due
     */
    public List<BackendServerId> due(long nowMillis) {
        if (nowMillis < nextListAtMillis) {
            return List.of();
        }
        nextListAtMillis = nowMillis + LIST_EVERY_MILLIS;
        usedAt.values().removeIf(at -> nowMillis - at > USED_MILLIS);
        List<BackendServerId> engines = new ArrayList<>(usedAt.keySet());
        owned.stream().filter(e -> !usedAt.containsKey(e)).sorted().forEach(engines::add);
        return engines;
    }

    /**
     * Gives the time of the next call to {@link #due}.
     *
     * @return milliseconds since the epoch
     */
    public long nextListAtMillis() {
        return nextListAtMillis;
    }

    /**
     * Picks the requests to cancel from the list of an engine.
     *
     * @param engine the engine
     * @param listed its requests
     * @param expected tells whether a request of this host and run is to be found on an engine
     * @param nowMillis the current time
     * @return the requests to cancel on this engine
     */
    public List<RequestId> listed(
            BackendServerId engine,
            List<HeldRequest> listed,
            BiPredicate<BackendServerId, RequestId> expected,
            long nowMillis) {
        List<RequestId> cancel = new ArrayList<>();
        for (HeldRequest each : listed) {
            boolean orphan = each.host().equals(self) && each.incarnation().equals(incarnation)
                    ? !expected.test(engine, each.request())
                    : isSuperseded(each) || (owned.contains(engine) && isLost(each.host(), nowMillis));
            if (orphan) {
                cancel.add(each.request());
            }
        }
        return cancel;
    }

    private boolean isSuperseded(HeldRequest each) {
        Incarnation known = newest.get(each.host());
        return known != null && known.isAfter(each.incarnation());
    }

    /**
     * Tells whether a host has been silent for so long that its requests are cancelled.
     *
     * @param host the host
     * @param nowMillis the current time
     * @return true after 5 s of suspicion
     */
    public boolean isLost(HostId host, long nowMillis) {
        Long since = suspectSince.get(host);
        return since != null && nowMillis - since >= SUSPECT_MILLIS;
    }
}
