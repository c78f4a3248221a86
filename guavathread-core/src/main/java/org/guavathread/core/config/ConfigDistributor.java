package org.guavathread.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.key.IsolationDetector;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.membership.ServiceContact;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.SheetManifest;
import org.guavathread.core.sheet.SheetReadResult;
import org.guavathread.core.sheet.SheetReader;

/**
 * Distributes the newest sheet: decides when to call the configuration service, which peers to fetch sheets from and
 * which to offer them to, and serves sheets to peers.
 *
 * <pre>{@code
 * ConfigDistributor distributor = new ConfigDistributor(self, random, now).hostList(listedHosts);
 * run(distributor.onTick(now));                       // several times a second
 * run(distributor.onPeerReport(peer, report, now));   // for each heartbeat and answer
 * }</pre>
 */
public final class ConfigDistributor {

    /** Number of peers that a host offers a new version to; 4 reach 98% of the fleet, and heartbeats reach the rest. */
    static final int OFFERED_PEERS = 4;

    /** How long a refused version is not fetched again from peers. */
    private static final long REFUSED_PAUSE_MILLIS = 10_000;

    private final HostId self;
    private final RandomGenerator random;
    private final ConfigAcceptance acceptance = new ConfigAcceptance();
    private final SheetSource source = new SheetSource();
    private final ServiceReader reader;
    private final Map<HostId, SheetFetch> fetches = new HashMap<>();
    private StartPhase start;
    private List<HostId> activePeers = List.of();
    private SheetVersion refused = SheetVersion.NONE;
    private long refusedUntilMillis;
    private boolean wantWholeSheet;
    private Acceptance lastReported;
    private long lastPeerMessageAtMillis;

    /**
     * Creates the configuration state of one process of a host.
     *
     * @param self this host
     * @param random source of jitter and of random peers
     * @param nowMillis the current time
     */
    public ConfigDistributor(HostId self, RandomGenerator random, long nowMillis) {
        this.self = self;
        this.random = random;
        this.reader = new ServiceReader(self, random);
        this.start = new StartPhase(self, random, nowMillis);
        this.lastPeerMessageAtMillis = nowMillis;
    }

    /**
     * Sets the platform's list of hosts, which is used only until the first sheet is in force.
     *
     * @param hosts the hosts; the list may be out of date or wrong
     * @return this object
     */
    public ConfigDistributor hostList(Collection<HostId> hosts) {
        if (start != null) {
            start.peers(hosts);
            reader.fleetSize(hosts.size());
        }
        return this;
    }

    /**
     * Returns the actions that are due. Must be called at least every 100 ms.
     *
     * @param nowMillis the current time
     * @return actions
     */
    public List<ConfigAction> onTick(long nowMillis) {
        List<ConfigAction> actions = new ArrayList<>();
        fetches.values().removeIf(fetch -> fetch.isOverdue(nowMillis));
        if (start != null && start.isOver(nowMillis)) {
            actions.addAll(endStart(nowMillis));
        }
        if (start != null) {
            for (HostId peer : start.peersToAsk(nowMillis)) {
                actions.addAll(fetch(peer, SheetVersion.NONE, nowMillis));
            }
        }
        boolean serviceAllowed = start == null || start.mayReadService(nowMillis);
        if (serviceAllowed && reader.isCallDue(nowMillis)) {
            SheetVersion known = newestKnown();
            boolean plain = known.equals(SheetVersion.NONE);
            actions.add(new ConfigAction.ReadService(known, plain ? 0 : ServiceReader.WATCH_MILLIS));
        }
        return actions;
    }

    /** Returns the newest known version, including a refused one, which the service would otherwise return again at once. */
    private SheetVersion newestKnown() {
        SheetVersion inForce = acceptance.version();
        SheetVersion known = source.version().isNewerThan(inForce) ? source.version() : inForce;
        return refused.isNewerThan(known) ? refused : known;
    }

    private List<ConfigAction> endStart(long nowMillis) {
        SheetReadResult.Valid best = start.best();
        String from = start.bestSource();
        start = null;
        return offerSheet(best, from, nowMillis);
    }

    /**
     * Handles a heartbeat or its answer.
     *
     * @param from the peer
     * @param report its report
     * @param nowMillis the current time
     * @return actions
     */
    public List<ConfigAction> onPeerReport(HostId from, PeerReport report, long nowMillis) {
        lastPeerMessageAtMillis = nowMillis;
        report.serviceContact().ifPresent(contact -> reader.onContact(contact, nowMillis));
        return onPeerVersion(from, report.sheetVersion(), nowMillis);
    }

    /**
     * Handles the offer of a peer.
     *
     * @param from the peer
     * @param offer the offer
     * @param nowMillis the current time
     * @return actions
     */
    public List<ConfigAction> onOffer(HostId from, SheetOffer offer, long nowMillis) {
        lastPeerMessageAtMillis = nowMillis;
        if (offer.version().equals(acceptance.version()) && !offer.digest().equals(acceptance.digest())) {
            return report(new Acceptance.Conflict(offer.version(), offer.digest(), acceptance.digest(), from.value()));
        }
        return onPeerVersion(from, offer.version(), nowMillis);
    }

    /**
     * Handles the sheet version in any other message of a peer, and fetches the sheet if it is newer.
     *
     * @param from the peer
     * @param version its version
     * @param nowMillis the current time
     * @return actions
     */
    public List<ConfigAction> onPeerVersion(HostId from, SheetVersion version, long nowMillis) {
        boolean pausedAfterRefusal = version.equals(refused) && nowMillis < refusedUntilMillis;
        boolean beingFetched = fetches.values().stream().anyMatch(f -> !version.isNewerThan(f.expected()));
        if (!version.isNewerThan(source.version()) || pausedAfterRefusal || beingFetched) {
            return List.of();
        }
        return fetch(from, version, nowMillis);
    }

    private List<ConfigAction> fetch(HostId from, SheetVersion version, long nowMillis) {
        if (fetches.containsKey(from)) {
            return List.of();
        }
        boolean deltasUsable = start == null && !wantWholeSheet;
        SheetFetch fetch =
                new SheetFetch(from, version, source.version(), deltasUsable ? acceptance.digest() : "", nowMillis);
        fetches.put(from, fetch);
        return List.of(new ConfigAction.Send(from, fetch.nextRequest()));
    }

    /**
     * Answers a request of a peer.
     *
     * @param request the request
     * @return the chunk; while this host is starting, of the newest sheet that it has received
     */
    public SheetChunk onRequest(SheetRequest request) {
        return source.chunk(request);
    }

    /**
     * Handles a chunk of a sheet.
     *
     * @param from the peer
     * @param chunk the chunk
     * @param nowMillis the current time
     * @return actions
     */
    public List<ConfigAction> onChunk(HostId from, SheetChunk chunk, long nowMillis) {
        lastPeerMessageAtMillis = nowMillis;
        if (start != null) {
            start.answered(from, !chunk.isNone());
        }
        SheetFetch fetch = fetches.get(from);
        if (fetch == null) {
            return List.of();
        }
        if (!chunk.version().isNewerThan(source.version())) {
            fetches.remove(from);
            return List.of();
        }
        if (!fetch.add(chunk, nowMillis)) {
            return List.of();
        }
        if (!fetch.isComplete()) {
            return continueOrDrop(fetch);
        }
        fetches.remove(from);
        Optional<SheetReadResult> reading = fetch.read(acceptance.inForce().orElse(null));
        wantWholeSheet = reading.isEmpty();
        return reading.map(r -> offerSheet(r, from.value(), nowMillis))
                .orElseGet(() -> fetch(from, chunk.version(), nowMillis));
    }

    private List<ConfigAction> continueOrDrop(SheetFetch fetch) {
        boolean duplicate = fetches.values().stream()
                .anyMatch(f -> f != fetch
                        && !f.nextRequest().wanted().equals(SheetVersion.NONE)
                        && !fetch.expected().isNewerThan(f.expected()));
        if (duplicate) {
            fetches.remove(fetch.from());
            return List.of();
        }
        return List.of(new ConfigAction.Send(fetch.from(), fetch.nextRequest()));
    }

    /**
     * Handles the answer of the configuration service.
     *
     * @param answer the answer
     * @param nowMillis the current time
     * @return actions
     */
    public List<ConfigAction> onServiceAnswer(ServiceAnswer answer, long nowMillis) {
        if (answer instanceof ServiceAnswer.Failed) {
            reader.failed(nowMillis);
            return List.of();
        }
        if (!(answer instanceof ServiceAnswer.Value value)) {
            reader.succeeded(false, nowMillis);
            return List.of();
        }
        SheetReadResult reading = SheetReader.read(value.json());
        if (reading instanceof SheetReadResult.Parts parts) {
            return takeManifest(parts.manifest(), nowMillis);
        }
        return takeFromService(reading, nowMillis);
    }

    private List<ConfigAction> takeManifest(SheetManifest manifest, long nowMillis) {
        if (manifest.version().isNewerThan(source.version())) {
            return List.of(new ConfigAction.ReadParts(manifest));
        }
        if (source.version().isNewerThan(manifest.version())) {
            reader.failed(nowMillis);
        } else {
            reader.succeeded(false, nowMillis);
        }
        return List.of();
    }

    /**
     * Handles the parts of a manifest.
     *
     * @param manifest the manifest
     * @param documents the parts that could be read, by name
     * @param nowMillis the current time
     * @return actions
     */
    public List<ConfigAction> onServiceParts(SheetManifest manifest, Map<String, byte[]> documents, long nowMillis) {
        SheetReadResult reading = SheetReader.readParts(manifest, documents);
        if (reading instanceof SheetReadResult.RetryParts) {
            reader.failed(nowMillis);
            return List.of();
        }
        return takeFromService(reading, nowMillis);
    }

    /** Treats an invalid or an older sheet as a failed call, because it may come from a stale replica of the service. */
    private List<ConfigAction> takeFromService(SheetReadResult reading, long nowMillis) {
        boolean stale = reading instanceof SheetReadResult.Valid valid
                && source.version().isNewerThan(valid.sheet().version());
        if (stale || reading instanceof SheetReadResult.Invalid) {
            reader.failed(nowMillis);
        } else {
            reader.succeeded(true, nowMillis);
        }
        return offerSheet(reading, "service", nowMillis);
    }

    private List<ConfigAction> offerSheet(SheetReadResult reading, String from, long nowMillis) {
        if (start != null && reading instanceof SheetReadResult.Valid valid) {
            return start.addCandidate(valid, from, nowMillis) ? offerToPeers(valid, from) : List.of();
        }
        Acceptance result = acceptance.offer(reading, from, nowMillis);
        List<ConfigAction> actions = new ArrayList<>();
        if (result instanceof Acceptance.Refused refusal) {
            refused = new SheetVersion(Math.max(0, refusal.version()));
            refusedUntilMillis = nowMillis + REFUSED_PAUSE_MILLIS;
        }
        if (result instanceof Acceptance.InForce accepted) {
            if (accepted.sheet().version().isNewerThan(source.version())) {
                actions.addAll(offerToPeers((SheetReadResult.Valid) reading, from));
            }
            reader.sheet(accepted.sheet());
        }
        actions.addAll(report(result));
        return actions;
    }

    private List<ConfigAction> offerToPeers(SheetReadResult.Valid valid, String from) {
        source.sheet(valid.sheet(), valid.digest());
        activePeers = valid.sheet().activeHosts().stream()
                .map(Host::id)
                .filter(h -> !h.equals(self))
                .toList();
        List<HostId> pool = new ArrayList<>(activePeers);
        pool.removeIf(h -> h.value().equals(from));
        List<ConfigAction> actions = new ArrayList<>();
        for (int i = 0; i < OFFERED_PEERS && !pool.isEmpty(); i++) {
            actions.add(new ConfigAction.Send(pool.remove(random.nextInt(pool.size())), source.offer()));
        }
        return actions;
    }

    /** Reports a result, except that a repeated refusal is reported only once and not at each read. */
    private List<ConfigAction> report(Acceptance result) {
        if (result instanceof Acceptance.NotNewer || Objects.equals(result, lastReported)) {
            return List.of();
        }
        lastReported = result;
        return List.of(new ConfigAction.Report(result));
    }

    /**
     * Returns the state of the sheet in force.
     *
     * @return the acceptance, which the caller must not modify
     */
    public ConfigAcceptance acceptance() {
        return acceptance;
    }

    /**
     * Tells whether the host may serve callers.
     *
     * @return true once the start phase is over and a sheet is in force
     */
    public boolean isServing() {
        return start == null;
    }

    /**
     * Returns what heartbeats report about the configuration service.
     *
     * @param nowMillis the current time
     * @return the most recent successful read that this host knows of
     */
    public Optional<ServiceContact> serviceContact(long nowMillis) {
        return reader.contact(nowMillis);
    }

    /**
     * Tells whether this host must refuse requests that need an API key, because it could miss that a key was withdrawn.
     *
     * @param nowMillis the current time
     * @return true if neither the service nor any peer has answered for 10 s; never in a fleet of one active host
     */
    public boolean isIsolated(long nowMillis) {
        long lastContactAtMillis = Math.max(lastPeerMessageAtMillis, reader.ownSuccessAtMillis());
        return acceptance
                .inForce()
                .map(sheet -> new IsolationDetector(lastContactAtMillis).isIsolated(sheet, nowMillis))
                .orElse(nowMillis - lastContactAtMillis >= IsolationDetector.ISOLATED_AFTER_MILLIS);
    }

    /**
     * Returns the peers that this host is fetching a sheet from, for status reports.
     *
     * @return the peers by name
     */
    public Collection<HostId> fetchingFrom() {
        return new TreeSet<>(fetches.keySet());
    }
}
