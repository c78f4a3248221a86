package org.guavathread.core.publish;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.DepartedServers;
import org.guavathread.core.registry.EvacuatedDataCentres;
import org.guavathread.core.registry.VersionHistory;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.registry.WorkerRegistry;
import org.guavathread.core.routing.RoutingTable;

/**
 * The store's published state, as far as this host has applied it. Within an epoch of the store, listings and events that
 * arrive late have no effect. The first listing of a later epoch replaces all items, whatever their revisions. The
 * configuration never reverts to an older version.
 */
public final class PublishedState {

    /** Maximum difference between the clocks of a host and a server, in milliseconds. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 2_000;

    private final ItemDecoder decoder;
    private final long silenceMillis;
    private final WorkerRegistry registry = new WorkerRegistry();
    private final DepartedServers departed = new DepartedServers();
    private final Map<BackendServerId, StoreItem> withheld = new HashMap<>();
    private final Map<BackendServerId, Unconfirmed> unconfirmed = new HashMap<>();
    private final Map<String, StoreItem> items = new HashMap<>();
    private RoutingTable table;
    private StoreItem tableItem;
    private StorePosition position = StorePosition.START;
    private long unreadable;

    /** Until then, the store may list servers that ended after its copy was made, since their entries have not expired. */
    private long outdatedUntilMillis;

    /** A server that is withheld until its process has been asked whether it leaves. */
    private record Unconfirmed(Worker worker, StoreItem item) {}

    /**
     * Creates an empty state.
     *
     * @param decoder decodes items
     * @param silenceMillis time after which the store removes the entry of a silent server, in milliseconds
     */
    public PublishedState(ItemDecoder decoder, long silenceMillis) {
        this.decoder = decoder;
        this.silenceMillis = silenceMillis;
    }

    /**
     * Applies a complete listing.
     *
     * @param listing all items
     * @param at the store's position before the first item was listed
     * @param nowMillis the current time
     * @return what changed
     */
    public List<StateChange> applyListing(Collection<StoreItem> listing, StorePosition at, long nowMillis) {
        if (position.isAfter(at)) {
            return List.of();
        }
        Map<String, StoreItem> previous = Map.copyOf(items);
        boolean isNewEpoch = at.epoch() > position.epoch();
        if (isNewEpoch) {
            beginEpoch(nowMillis);
        }
        position = at;
        registry.listed(nowMillis);
        List<StateChange> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        List<StoreItem> ordered = new ArrayList<>(listing);
        // An evacuation is logged with the number of servers that it concerns.
        ordered.sort(
                Comparator.comparing(item -> decoder.evacuatedBy(item.key()).isPresent()));
        for (StoreItem item : ordered) {
            present.add(item.key());
            apply(item, nowMillis, changes);
        }
        previous.forEach((key, item) -> {
            if (!present.contains(key) && (isNewEpoch || item.revision() <= at.revision())) {
                items.remove(key);
                Optional<DataCentreId> lost = isNewEpoch ? decoder.evacuatedBy(key) : Optional.empty();
                if (lost.isPresent()) {
                    evacuationLost(lost.get(), at, nowMillis, changes);
                } else {
                    decode(StoreItem.deleted(key, at.revision()), nowMillis, changes);
                }
            }
        });
        return changes;
    }

    private void evacuationLost(DataCentreId dataCentre, StorePosition at, long nowMillis, List<StateChange> changes) {
        registry.evacuated().lost(dataCentre, nowMillis);
        changes.add(
                new StateChange(StateChange.EVACUATION, dataCentre.value(), "lost by the store, held", at.revision()));
    }

    private void beginEpoch(long nowMillis) {
        if (!position.equals(StorePosition.START)) {
            items.clear();
            registry.sourceReplaced(nowMillis);
        }
        // A host that starts cannot tell for how long the store has been back.
        outdatedUntilMillis = nowMillis + silenceMillis + WorkerRegistry.GRACE_PERIOD_MILLIS;
    }

    /**
     * Applies the configuration that is in force at another host if it is later than this host's, whatever the store says.
     *
     * @param item the configuration's item
     * @return what changed
     */
    public List<StateChange> applyLaterConfiguration(StoreItem item) {
        List<StateChange> changes = new ArrayList<>();
        applyConfiguration(item, changes);
        return changes;
    }

    /**
     * Adds departures that another host knows, and withholds the servers that this host has listed in spite of them.
     *
     * @param departures the departures
     * @param nowMillis the current time
     * @return what changed
     */
    public List<StateChange> applyDepartures(Collection<DepartedServers.Departure> departures, long nowMillis) {
        Set<BackendServerId> news = new HashSet<>();
        for (DepartedServers.Departure each : departures) {
            if (departed.merge(each, nowMillis)) {
                news.add(each.server());
                if (each.isStatedInAnswer()) {
                    registry.leaving(each.server(), each.startedAtMillis());
                }
            }
        }
        return applyAgain(news, nowMillis);
    }

    private List<StateChange> applyAgain(Set<BackendServerId> servers, long nowMillis) {
        List<StateChange> changes = new ArrayList<>();
        if (!servers.isEmpty()) {
            items.values()
                    .forEach(item -> decoder.serverOf(item.key())
                            .filter(servers::contains)
                            .ifPresent(id -> applyServer(id, item, nowMillis, changes)));
        }
        return changes;
    }

    /**
     * Applies what a server stated in an answer: that it leaves.
     *
     * @param worker the entry under which the server was asked; a later process may have answered
     * @param nowMillis the current time
     * @return true if this was not known
     */
    public boolean applyStatedDeparture(Worker worker, long nowMillis) {
        registry.leaving(worker.id(), worker.startedAtMillis());
        boolean isNews = departed.recordStated(worker, nowMillis);
        if (isNews) {
            applyAgain(Set.of(worker.id()), nowMillis);
        }
        return isNews;
    }

    /**
     * Returns the servers whose processes are to be asked whether they leave.
     *
     * @return their entries; until they have answered, they are not usable
     */
    public List<Worker> unconfirmed() {
        return unconfirmed.values().stream().map(Unconfirmed::worker).toList();
    }

    /**
     * Records that a server has answered and has not stated that it leaves.
     *
     * @param worker the entry under which it was asked
     * @param nowMillis the current time
     * @return what changed
     */
    public List<StateChange> applyInUse(Worker worker, long nowMillis) {
        List<StateChange> changes = new ArrayList<>();
        Unconfirmed asked = unconfirmed.get(worker.id());
        if (asked != null && asked.worker().equals(worker)) {
            departed.foundInUse(worker);
            applyServer(worker.id(), asked.item(), nowMillis, changes);
        }
        return changes;
    }

    /**
     * Returns what servers have lately stated in answers: that they leave.
     *
     * @param nowMillis the current time
     * @return their departures, for other hosts
     */
    public List<DepartedServers.Departure> departureNews(long nowMillis) {
        return departed.news(nowMillis);
    }

    /**
     * Ends grace periods. Servers that were withheld and are still listed are usable then.
     *
     * @param nowMillis the current time
     * @return what changed
     */
    public List<StateChange> expire(long nowMillis) {
        registry.expire(nowMillis);
        departed.expire(nowMillis);
        List<StateChange> changes = new ArrayList<>();
        registry.evacuated()
                .expire(nowMillis)
                .forEach(e -> changes.add(new StateChange(
                        StateChange.EVACUATION, e.dataCentre().value(), "over, not written again", e.revision())));
        if (nowMillis >= outdatedUntilMillis) {
            Map<BackendServerId, StoreItem> released = Map.copyOf(withheld);
            withheld.clear();
            released.forEach((id, item) -> applyServer(id, item, nowMillis, changes));
        }
        return changes;
    }

    /**
     * Applies events in the order of their revisions.
     *
     * @param events changed and deleted items
     * @param at the store's position after the last one, in the epoch that this host has applied
     * @param nowMillis the current time
     * @return what changed
     * @throws IllegalArgumentException if the events are of another epoch, so that some may be missing before them
     */
    public List<StateChange> applyEvents(Collection<StoreItem> events, StorePosition at, long nowMillis) {
        if (at.epoch() != position.epoch()) {
            throw new IllegalArgumentException("Events at " + at + " do not continue a state at " + position + ".");
        }
        List<StateChange> changes = new ArrayList<>();
        long applied = position.revision();
        // Whatever happened up to the applied revision is contained in it. An older event may name a server that has
        // been removed since, of which nothing is left to compare the event with.
        events.stream().filter(event -> event.revision() > applied).forEach(event -> apply(event, nowMillis, changes));
        position = at.isAfter(position) ? at : position;
        return changes;
    }

    /**
     * Adds what the store remembers of the time before this host watched it to the record of software versions.
     *
     * @param events the oldest events that the store has, and all later ones
     * @param after the revision after which they begin
     * @param historyMillis for how long the store remembers events
     * @param nowMillis the current time
     * @return true if the events tell all versions of that time
     */
    public boolean applyHistory(List<StoreItem> events, long after, long historyMillis, long nowMillis) {
        Set<BackendServerId> known = new HashSet<>();
        List<VersionHistory.ServiceVersion> versions = new ArrayList<>();
        for (StoreItem event : events) {
            Optional<BackendServerId> id = decoder.serverOf(event.key());
            if (id.isPresent() && event.isDeleted() && !known.contains(id.get())) {
                return false;
            }
            if (id.isPresent() && !event.isDeleted()) {
                known.add(id.get());
                versionOf(id.get(), event, nowMillis).ifPresent(versions::add);
            }
        }
        // The store may drop events sooner: a server that registered in that time must be among them.
        long registeredSinceMillis = nowMillis - historyMillis + MAX_CLOCK_DIFFERENCE_MILLIS;
        boolean isCut = items.values().stream()
                .filter(item -> item.revision() <= after)
                .map(item -> decoder.serverOf(item.key()).flatMap(registry::find))
                .anyMatch(worker -> worker.isPresent() && worker.get().startedAtMillis() > registeredSinceMillis);
        if (!isCut) {
            registry.versions().extend(versions, nowMillis - historyMillis, nowMillis);
        }
        return !isCut;
    }

    private Optional<VersionHistory.ServiceVersion> versionOf(BackendServerId id, StoreItem event, long nowMillis) {
        try {
            return Optional.of(VersionHistory.ServiceVersion.of(decoder.server(id, event.value(), nowMillis)));
        } catch (IllegalArgumentException e) {
            // An unreadable entry names no server, so nothing was sent there.
            return Optional.empty();
        }
    }

    private void apply(StoreItem item, long nowMillis, List<StateChange> changes) {
        StoreItem previous = items.get(item.key());
        if (previous != null && previous.revision() >= item.revision() && !item.isDeleted()) {
            return;
        }
        if (item.isDeleted()) {
            if (previous == null || previous.revision() > item.revision()) {
                return;
            }
            items.remove(item.key());
        } else {
            items.put(item.key(), item);
        }
        decode(item, nowMillis, changes);
    }

    private void decode(StoreItem item, long nowMillis, List<StateChange> changes) {
        if (decoder.isConfiguration(item.key())) {
            applyConfiguration(item, changes);
        } else {
            decoder.serverOf(item.key()).ifPresent(id -> applyServer(id, item, nowMillis, changes));
            decoder.evacuatedBy(item.key()).ifPresent(each -> applyEvacuation(each, item, nowMillis, changes));
        }
    }

    private void applyEvacuation(DataCentreId dataCentre, StoreItem item, long nowMillis, List<StateChange> changes) {
        EvacuatedDataCentres evacuated = registry.evacuated();
        if (!item.isDeleted()) {
            boolean isNew = evacuated.begin(dataCentre, item.revision(), nowMillis);
            long servers = registry.registered().stream()
                    .filter(w -> w.dataCentre().equals(dataCentre))
                    .count();
            String outcome = (isNew ? "in force" : "still in force")
                    + (servers == 0 ? ", no backend server is listed there" : ", backend servers: " + servers);
            changes.add(change(StateChange.EVACUATION, dataCentre.value(), outcome, item));
        } else if (evacuated.end(dataCentre)) {
            changes.add(change(StateChange.EVACUATION, dataCentre.value(), "taken back", item));
        }
    }

    private void applyConfiguration(StoreItem item, List<StateChange> changes) {
        if (item.isDeleted()) {
            return;
        }
        try {
            RoutingTable next = decoder.configuration(item.value());
            if (table == null || next.version() > table.version()) {
                table = next;
                tableItem = item;
                changes.add(change("configuration", Long.toString(next.version()), "in force", item));
            } else {
                changes.add(change("configuration", Long.toString(next.version()), "older, ignored", item));
            }
        } catch (IllegalArgumentException e) {
            unreadable++;
            changes.add(change("configuration", item.key(), "unreadable: " + e.getMessage(), item));
        }
    }

    private void applyServer(BackendServerId id, StoreItem item, long nowMillis, List<StateChange> changes) {
        withheld.remove(id);
        unconfirmed.remove(id);
        if (item.isDeleted()) {
            registry.find(id).ifPresent(worker -> departed.record(worker, position.epoch(), nowMillis));
            String outcome = registry.remove(id, nowMillis) ? "gone" : "lapsed";
            changes.add(change("server", id.value(), outcome, item));
            return;
        }
        try {
            applyEntry(decoder.server(id, item.value(), nowMillis), item, nowMillis, changes);
        } catch (IllegalArgumentException e) {
            unreadable++;
            registry.withdraw(id, nowMillis);
            changes.add(change("server", id.value(), "unreadable: " + e.getMessage(), item));
        }
    }

    private void applyEntry(Worker worker, StoreItem item, long nowMillis, List<StateChange> changes) {
        BackendServerId id = worker.id();
        Optional<Worker> previous = registry.find(id);
        if (!worker.draining() && departed.hasStated(worker)) {
            registry.put(worker.leaving(), nowMillis);
            changes.add(change("server", id.value(), "listed, but leaving by its own answer", item));
            return;
        }
        if (!worker.draining() && departed.mayHaveStated(worker)) {
            unconfirmed.put(id, new Unconfirmed(worker, item));
            registry.put(worker.leaving(), nowMillis);
            changes.add(change("server", id.value(), "listed, but maybe leaving by an answer", item));
            return;
        }
        if (withheldAsOutdated(worker, previous, item, nowMillis)) {
            changes.add(change("server", id.value(), "withheld, listed by an older copy of the store", item));
            return;
        }
        if (worker.draining()) {
            departed.record(worker, position.epoch(), nowMillis);
        } else {
            departed.returned(id);
        }
        registry.put(worker, nowMillis);
        if (!previous.equals(Optional.of(worker))) {
            String outcome = (worker.draining() ? "draining" : "usable") + " as "
                    + worker.stage().name().toLowerCase(java.util.Locale.ROOT) + " of " + worker.service() + " at "
                    + worker.address() + ", version " + worker.softwareVersion()
                    + (worker.coldUntilMillis() > nowMillis
                            ? ", cold for " + (worker.coldUntilMillis() - nowMillis) + " ms"
                            : "");
            changes.add(change("server", id.value(), outcome, item));
        }
    }

    /** Withholds a server of which this host knows more than its entry says; returns whether it did. */
    private boolean withheldAsOutdated(Worker worker, Optional<Worker> previous, StoreItem item, long nowMillis) {
        boolean mayBeOutdated = nowMillis < outdatedUntilMillis;
        if (!worker.draining() && departed.hasLeft(worker, position.epoch(), false)) {
            registry.put(worker.leaving(), nowMillis);
            return true;
        }
        if (!worker.draining() && departed.hasLeft(worker, position.epoch(), mayBeOutdated)) {
            registry.withdraw(worker.id(), nowMillis);
            withheld.put(worker.id(), item);
            return true;
        }
        if (mayBeOutdated
                && previous.filter(p -> p.startedAtMillis() > worker.startedAtMillis())
                        .isPresent()) {
            // The entry is of an earlier process; the present one has to register again.
            registry.remove(worker.id(), nowMillis);
            withheld.put(worker.id(), item);
            return true;
        }
        return false;
    }

    private static StateChange change(String what, String name, String outcome, StoreItem item) {
        return new StateChange(what, name, outcome, item.revision());
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty before the first one was applied
     */
    public Optional<RoutingTable> table() {
        return Optional.ofNullable(table);
    }

    /**
     * Returns the registry of backend servers.
     *
     * @return the registry
     */
    public WorkerRegistry registry() {
        return registry;
    }

    /**
     * Returns the applied position.
     *
     * @return the store's position; {@link StorePosition#START} before the first listing
     */
    public StorePosition position() {
        return position;
    }

    /**
     * Returns the version of the configuration in force.
     *
     * @return the version; 0 before the first one was applied
     */
    public long version() {
        return table == null ? 0 : table.version();
    }

    /**
     * Returns the item of the configuration in force, which the store may have lost.
     *
     * @return the item, or empty before the first configuration was applied
     */
    public Optional<StoreItem> configuration() {
        return Optional.ofNullable(tableItem);
    }

    /**
     * Returns all items except the configuration, for a host that cannot reach the store.
     *
     * @return the items as they are stored
     */
    public List<StoreItem> items() {
        return items.values().stream()
                .filter(item -> !decoder.isConfiguration(item.key()))
                .toList();
    }

    /**
     * Returns the servers that have left, for other hosts.
     *
     * @param nowMillis the current time
     * @return their departures
     */
    public List<DepartedServers.Departure> departures(long nowMillis) {
        return departed.departures(nowMillis);
    }

    /**
     * Returns the number of items that could not be decoded.
     *
     * @return number since the start of the process
     */
    public long unreadable() {
        return unreadable;
    }
}
