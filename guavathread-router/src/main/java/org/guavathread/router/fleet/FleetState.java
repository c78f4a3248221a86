package org.guavathread.router.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.key.KeyRing;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.router.backend.ListedHost;
import org.guavathread.router.peer.PeerDirectory;

/**
 * Holds the latest snapshot of the fleet. Only the membership duty changes it; any thread may read it.
 *
 * <pre>{@code
 * fleet.onSheet(() -> limits.sheetChanged());
 * Sheet sheet = fleet.now().sheet();
 * }</pre>
 */
public final class FleetState implements PeerDirectory {

    private volatile FleetSnapshot snapshot = FleetSnapshot.empty();
    private volatile List<ListedHost> bootstrapHosts = List.of();
    private volatile List<Host> unlistedHosts = List.of();
    private final List<Runnable> sheetListeners = new CopyOnWriteArrayList<>();

    /**
     * Gives the latest snapshot.
     *
     * @return the snapshot
     */
    public FleetSnapshot now() {
        return snapshot;
    }

    /**
     * Registers a listener that runs after each change of the sheet or of the host epoch, on the thread of the change.
     *
     * @param listener the listener; must not block
     */
    public void onSheet(Runnable listener) {
        sheetListeners.add(listener);
    }

    /**
     * Puts a sheet and the epochs that belong to it in force.
     *
     * @param sheet the sheet
     * @param epochs the epochs
     */
    public synchronized void sheetAccepted(Sheet sheet, EpochView epochs) {
        FleetSnapshot before = snapshot;
        snapshot = new FleetSnapshot(
                sheet, KeyRing.of(sheet), epochs, before.suspect(), before.draining(), before.incarnations());
        sheetListeners.forEach(Runnable::run);
    }

    /**
     * Publishes the current state of the membership duty.
     *
     * @param epochs the epochs and this host's rights
     * @param suspect hosts that do not answer
     * @param draining hosts that are shutting down
     * @param incarnations latest known incarnation of each host that has answered
     * @param earlierWitnesses hosts that must stay reachable even if the sheet no longer lists them
     */
    public synchronized void membershipChanged(
            EpochView epochs,
            Set<HostId> suspect,
            Set<HostId> draining,
            Map<HostId, Incarnation> incarnations,
            List<Host> earlierWitnesses) {
        unlistedHosts = List.copyOf(earlierWitnesses);
        HostEpoch before = snapshot.epochs().current().epoch();
        snapshot = new FleetSnapshot(snapshot.sheet(), snapshot.keys(), epochs, suspect, draining, incarnations);
        if (!epochs.current().epoch().equals(before)) {
            // After a start, a host learns the number of its epoch from other hosts, later than the sheet.
            sheetListeners.forEach(Runnable::run);
        }
    }

    /**
     * Sets the addresses of hosts for use until a sheet is in force.
     *
     * @param hosts hosts of the platform's host list
     */
    public void bootstrapHosts(List<ListedHost> hosts) {
        bootstrapHosts = List.copyOf(hosts);
    }

    @Override
    public Optional<SocketAddressText> addressOf(HostId host) {
        if (snapshot.hasSheet()) {
            return find(host).map(Host::peers);
        }
        return bootstrapHosts.stream()
                .filter(h -> h.id().equals(host))
                .map(ListedHost::address)
                .findFirst();
    }

    @Override
    public boolean accepts(HostId host, String ip) {
        return !snapshot.hasSheet()
                || find(host).filter(h -> h.peers().ip().equals(ip)).isPresent();
    }

    private Optional<Host> find(HostId host) {
        Host listed = snapshot.sheet().hosts().get(host);
        return listed != null
                ? Optional.of(listed)
                : unlistedHosts.stream().filter(h -> h.id().equals(host)).findFirst();
    }
}
