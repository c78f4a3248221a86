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
 * Finds orphans by comparing the request lists of engines with the requests that still exist.
 *
 * <p>A host queries the engines that it used recently, and a cell owner queries the engines of its cells. If every host
 * queried every engine, 410 hosts and 1,300 engines would cause 266,000 calls a second. The owner covers hosts that
 * crashed or restarted, because a restarted host does not know which engines it used.
 */
public final class OrphanSweep {

    private static final long LIST_INTERVAL_MILLIS = 2_000;

    /** How long after its last use an engine is queried; allows several retries after a lost cancellation. */
    private static final long LIST_AFTER_USE_MILLIS = 20_000;

    /** Grace period from the suspicion of a host to the cancellation of its requests, since it may still be running. */
    private static final long SUSPECT_GRACE_MILLIS = 5_000;

    private final HostId self;
    private final Incarnation incarnation;
    private final TreeMap<BackendServerId, Long> lastUsedMillis = new TreeMap<>();
    private final Map<HostId, Long> suspectSinceMillis = new HashMap<>();
    private final Map<HostId, Incarnation> newestIncarnations = new HashMap<>();
    private Set<BackendServerId> ownedEngines = Set.of();
    private long nextListAtMillis;

    /**
     * Creates a sweep.
     *
     * @param self this host
     * @param incarnation its current incarnation
     */
    public OrphanSweep(HostId self, Incarnation incarnation) {
        this.self = self;
        this.incarnation = incarnation;
        newestIncarnations.put(self, incarnation);
    }

    /**
     * Records that this host sends a request to an engine.
     *
     * @param engine the engine
     * @param nowMillis the current time
     */
    public void engineUsed(BackendServerId engine, long nowMillis) {
        lastUsedMillis.put(engine, nowMillis);
    }

    /**
     * Sets the engines of the cells that this host owns.
     *
     * @param engines the engines
     */
    public void setOwnedEngines(Set<BackendServerId> engines) {
        ownedEngines = Set.copyOf(engines);
    }

    /**
     * Records that a host is suspect; repeated calls keep the time of the first one.
     *
     * @param host the host
     * @param nowMillis the current time
     */
    public void hostSuspect(HostId host, long nowMillis) {
        suspectSinceMillis.putIfAbsent(host, nowMillis);
    }

    /**
     * Records that a host is alive.
     *
     * @param host the host
     * @param hostIncarnation its incarnation
     */
    public void hostAlive(HostId host, Incarnation hostIncarnation) {
        suspectSinceMillis.remove(host);
        newestIncarnations.merge(host, hostIncarnation, (a, b) -> b.isAfter(a) ? b : a);
    }

    /**
     * Returns the engines whose requests must be listed now.
     *
     * @param nowMillis the current time
     * @return the engines; empty before {@link #nextListAtMillis}
     */
    public List<BackendServerId> enginesToList(long nowMillis) {
        if (nowMillis < nextListAtMillis) {
            return List.of();
        }
        nextListAtMillis = nowMillis + LIST_INTERVAL_MILLIS;
        lastUsedMillis.values().removeIf(at -> nowMillis - at > LIST_AFTER_USE_MILLIS);
        List<BackendServerId> engines = new ArrayList<>(lastUsedMillis.keySet());
        ownedEngines.stream()
                .filter(e -> !lastUsedMillis.containsKey(e))
                .sorted()
                .forEach(engines::add);
        return engines;
    }

    /**
     * Returns the time at which engines must be listed next.
     *
     * @return milliseconds since the epoch
     */
    public long nextListAtMillis() {
        return nextListAtMillis;
    }

    /**
     * Returns the orphans in the request list of an engine.
     *
     * @param engine the engine
     * @param listed the requests that it lists
     * @param expected returns whether a request of this incarnation of this host should be on an engine
     * @param nowMillis the current time
     * @return the requests to cancel on this engine
     */
    public List<RequestId> orphansIn(
            BackendServerId engine,
            List<ListedRequest> listed,
            BiPredicate<BackendServerId, RequestId> expected,
            long nowMillis) {
        List<RequestId> orphans = new ArrayList<>();
        for (ListedRequest request : listed) {
            boolean isOrphan = request.host().equals(self)
                            && request.incarnation().equals(incarnation)
                    ? !expected.test(engine, request.request())
                    : isSuperseded(request) || (ownedEngines.contains(engine) && isLost(request.host(), nowMillis));
            if (isOrphan) {
                orphans.add(request.request());
            }
        }
        return orphans;
    }

    private boolean isSuperseded(ListedRequest request) {
        Incarnation newestKnown = newestIncarnations.get(request.host());
        return newestKnown != null && newestKnown.isAfter(request.incarnation());
    }

    /**
     * Returns whether a host has been suspect for so long that its requests are cancelled.
     *
     * @param host the host
     * @param nowMillis the current time
     * @return true after 5 s of suspicion
     */
    public boolean isLost(HostId host, long nowMillis) {
        Long since = suspectSinceMillis.get(host);
        return since != null && nowMillis - since >= SUSPECT_GRACE_MILLIS;
    }
}
