package org.guavathread.core.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.routing.ServiceName;

/**
 * Registry of backend servers. A server whose entry disappears during an outage of the registry's source, or shortly
 * after, may only have missed heartbeats. It stays usable for a grace period in which live servers register again.
 */
public final class WorkerRegistry {

    /** Grace period after an outage: the platform states that live servers are registered again within 2 s. */
    public static final long GRACE_PERIOD_MILLIS = 2_200;

    private final Map<BackendServerId, Worker> registered = new HashMap<>();
    private final Map<BackendServerId, Worker> lapsed = new HashMap<>();
    private final VersionHistory versions = new VersionHistory();
    private final ServerProcesses processes = new ServerProcesses();
    private final EvacuatedDataCentres evacuated = new EvacuatedDataCentres();
    private long outageEndedAtMillis = -GRACE_PERIOD_MILLIS;
    private boolean outage;

    /**
     * Adds a server, or replaces its entry. An entry of a process after which another one has answered describes the
     * server, but not its software version.
     *
     * @param entry the server's entry
     * @param nowMillis the current time
     */
    public void put(Worker entry, long nowMillis) {
        Worker worker = processes.entryRead(entry, nowMillis);
        recordDeparture(registered.put(worker.id(), worker), nowMillis);
        recordDeparture(lapsed.remove(worker.id()), nowMillis);
    }

    /**
     * Records that a server has stated the start time of its process in an answer.
     *
     * @param stated the process that answered
     * @param stage its stage, as it states it
     * @param askedAtMillis when it was asked
     * @param nowMillis the current time
     * @return true if it is another process than the one that was known
     */
    public boolean stated(ServerProcess stated, EngineStage stage, long askedAtMillis, long nowMillis) {
        for (Map<BackendServerId, Worker> each : List.of(registered, lapsed)) {
            Worker known = each.get(stated.server());
            Optional<Worker> next = Optional.ofNullable(known)
                    .flatMap(w -> processes.stated(w, stated.startedAtMillis(), stage, askedAtMillis));
            if (next.isPresent()) {
                recordDeparture(each.put(known.id(), next.get()), nowMillis);
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the software version of a process whose version was not known when a value was recorded for it.
     *
     * @param version a version, or a value that stands for the version of a process
     * @return the version of the process if it has registered since, otherwise the given value
     */
    public SoftwareVersion resolve(SoftwareVersion version) {
        return processes.resolve(version);
    }

    private void recordDeparture(Worker previous, long nowMillis) {
        if (previous != null) {
            versions.departed(previous, nowMillis);
        }
    }

    /**
     * Records that a server announced its shutdown, unless another process has its id by now.
     *
     * @param id the server
     * @param startedAtMillis start time of the process that announced it
     */
    public void leaving(BackendServerId id, long startedAtMillis) {
        for (Map<BackendServerId, Worker> each : List.of(registered, lapsed)) {
            each.computeIfPresent(id, (key, w) -> w.startedAtMillis() <= startedAtMillis ? w.leaving() : w);
        }
    }

    /**
     * Removes a server whose entry was deleted or has expired.
     *
     * @param id the server
     * @param nowMillis the current time
     * @return true if the server is no longer usable; false if it is unknown or in its grace period
     */
    public boolean remove(BackendServerId id, long nowMillis) {
        Worker worker = registered.remove(id);
        if (worker == null) {
            return false;
        }
        if (!worker.draining() && (outage || nowMillis < outageEndedAtMillis + GRACE_PERIOD_MILLIS)) {
            lapsed.put(id, worker);
            return false;
        }
        versions.departed(worker, nowMillis);
        return true;
    }

    /**
     * Removes a server whose entry has been overwritten and names no server any more. Unlike a missing entry, this is
     * no sign of missed heartbeats, so there is no grace period.
     *
     * @param id the server
     * @param nowMillis the current time
     */
    public void withdraw(BackendServerId id, long nowMillis) {
        recordDeparture(registered.remove(id), nowMillis);
        recordDeparture(lapsed.remove(id), nowMillis);
    }

    /**
     * Records that the entries were listed anew, so that servers may have come and gone since the previous state.
     *
     * @param nowMillis the current time
     */
    public void listed(long nowMillis) {
        versions.interrupted(nowMillis);
    }

    /**
     * Records that the source has been replaced by an older copy of itself. Servers that registered since then are
     * missing there until they register again.
     *
     * @param nowMillis the current time
     */
    public void sourceReplaced(long nowMillis) {
        outageEndedAtMillis = nowMillis;
    }

    /** Records that the source of the entries is unreachable. */
    public void sourceUnreachable() {
        outage = true;
    }

    /**
     * Records that the source answers again.
     *
     * @param nowMillis the current time
     */
    public void sourceRecovered(long nowMillis) {
        if (outage) {
            outage = false;
            outageEndedAtMillis = nowMillis;
        }
    }

    /**
     * Removes lapsed servers that have not registered again within the grace period.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        if (!outage && nowMillis >= outageEndedAtMillis + GRACE_PERIOD_MILLIS) {
            lapsed.values().forEach(worker -> versions.departed(worker, nowMillis));
            lapsed.clear();
        }
        versions.expire(nowMillis);
        processes.expire(ids(), nowMillis);
    }

    /**
     * Returns the servers of a service that accept new requests.
     *
     * @param service the service
     * @return servers that are registered or in their grace period, and neither draining nor evacuated
     */
    public List<Worker> usable(ServiceName service) {
        return usable(w -> w.service().equals(service));
    }

    /**
     * Returns the servers of all services that accept new requests.
     *
     * @return servers that are registered or in their grace period, and neither draining nor evacuated
     */
    public List<Worker> usable() {
        return usable(w -> true);
    }

    private List<Worker> usable(Predicate<Worker> filter) {
        List<Worker> usable = new ArrayList<>();
        for (Collection<Worker> each : List.of(registered.values(), lapsed.values())) {
            each.stream()
                    .filter(w -> !w.draining() && !isEvacuated(w) && filter.test(w))
                    .forEach(usable::add);
        }
        return usable;
    }

    /**
     * Tells whether a server belongs to an evacuated data centre.
     *
     * @param worker the server
     * @return true if nothing new may be sent to it
     */
    public boolean isEvacuated(Worker worker) {
        return evacuated.contains(worker.dataCentre());
    }

    /**
     * Returns the evacuated data centres.
     *
     * @return the data centres, as far as this host has learned of them
     */
    public EvacuatedDataCentres evacuated() {
        return evacuated;
    }

    /**
     * Returns the software versions that servers of a service have had since a time.
     *
     * @param service the service
     * @param sinceMillis the time
     * @return the versions, or empty if there may be others that this registry has not seen
     */
    public Optional<Set<SoftwareVersion>> versionsSince(ServiceName service, long sinceMillis) {
        if (outage || !versions.isCompleteSince(sinceMillis)) {
            return Optional.empty();
        }
        Set<SoftwareVersion> seen = versions.departedSince(service, sinceMillis);
        for (Collection<Worker> each : List.of(registered.values(), lapsed.values())) {
            each.stream().filter(w -> w.service().equals(service)).forEach(w -> seen.add(w.softwareVersion()));
        }
        return Optional.of(seen.stream().map(processes::resolve).collect(Collectors.toSet()));
    }

    /**
     * Tells whether the source of the entries answers.
     *
     * @return false during an outage
     */
    public boolean isSourceReachable() {
        return !outage;
    }

    /**
     * Returns the record of versions of servers that have left.
     *
     * @return the record
     */
    public VersionHistory versions() {
        return versions;
    }

    /**
     * Finds a registered server, whether it accepts new requests or not.
     *
     * @param id the server
     * @return the server, or empty if it is not registered
     */
    public Optional<Worker> find(BackendServerId id) {
        return Optional.ofNullable(registered.get(id));
    }

    /**
     * Returns the registered servers, whether they accept new requests or not.
     *
     * @return the servers
     */
    public List<Worker> registered() {
        return List.copyOf(registered.values());
    }

    /**
     * Returns the servers that are registered or in their grace period.
     *
     * @return their ids
     */
    public Set<BackendServerId> ids() {
        Set<BackendServerId> ids = new HashSet<>(registered.keySet());
        ids.addAll(lapsed.keySet());
        return ids;
    }
}
