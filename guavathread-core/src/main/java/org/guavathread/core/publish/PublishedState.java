package org.guavathread.core.publish;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.registry.WorkerRegistry;
import org.guavathread.core.routing.RoutingTable;

/**
 * The store's published state, as far as this host has applied it. Within an epoch of the store, listings and events that
 * arrive late have no effect. The first listing of a later epoch replaces all items, whatever their revisions. The
 * configuration never reverts to an older version.
 */
public final class PublishedState {

    private final ItemDecoder decoder;
    private final WorkerRegistry registry = new WorkerRegistry();
    private final Map<String, StoreItem> items = new HashMap<>();
    private RoutingTable table;
    private StorePosition position = StorePosition.START;
    private long unreadable;

    /**
     * Creates an empty state.
     *
     * @param decoder decodes items
     */
    public PublishedState(ItemDecoder decoder) {
        this.decoder = decoder;
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
        boolean isNewEpoch = !position.equals(StorePosition.START) && at.epoch() > position.epoch();
        if (isNewEpoch) {
            items.clear();
            registry.sourceReplaced(nowMillis);
        }
        List<StateChange> changes = new ArrayList<>();
        Set<String> present = new HashSet<>();
        for (StoreItem item : listing) {
            present.add(item.key());
            apply(item, nowMillis, changes);
        }
        previous.forEach((key, item) -> {
            if (!present.contains(key) && (isNewEpoch || item.revision() <= at.revision())) {
                items.remove(key);
                decode(StoreItem.deleted(key, at.revision()), nowMillis, changes);
            }
        });
        position = at;
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
        if (item.isDeleted()) {
            String outcome = registry.remove(id, nowMillis) ? "gone" : "lapsed";
            changes.add(change("server", id.value(), outcome, item));
            return;
        }
        try {
            Worker worker = decoder.server(id, item.value());
            Worker previous = registry.find(id).orElse(null);
            registry.put(worker);
            if (!worker.equals(previous)) {
                String outcome = (worker.draining() ? "draining" : "usable") + " as "
                        + worker.stage().name().toLowerCase(java.util.Locale.ROOT) + " of " + worker.service()
                        + " at " + worker.address();
                changes.add(change("server", id.value(), outcome, item));
            }
        } catch (IllegalArgumentException e) {
            unreadable++;
            registry.withdraw(id);
            changes.add(change("server", id.value(), "unreadable: " + e.getMessage(), item));
        }
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
     * Returns all items, for a host that cannot reach the store.
     *
     * @return the items as they are stored
     */
    public List<StoreItem> items() {
        return List.copyOf(items.values());
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
