package org.guavathread.core.config;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.membership.ServiceContact;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.Sheet;

/**
 * Decides whether and when a host calls the configuration service.
 *
 * <p>The first three hosts of each region always call it. Any other host calls it while it knows of no successful read
 * by another host in the last 5 s; that peers have the same version proves nothing, because all of them may be cut off
 * from the service. A host that reads successfully continues until it learns of a reader with a better rank, so that one
 * reader remains.
 */
final class ServiceReader {

    /** How long the service may delay the answer to a watch, in ms; the answer also shows that the service is reachable. */
    static final int WATCH_MILLIS = 1_000;

    /** Age from which a read by another host no longer counts. */
    static final long CONTACT_VALID_MILLIS = 5_000;

    /** Hosts per region that watch the service; with more than one, a failed or cut-off reader causes no delay. */
    static final int READERS_PER_REGION = 3;

    private static final long ANSWER_DEADLINE_MILLIS = 4_000;
    private static final long MIN_INTERVAL_MILLIS = 1_000;
    private static final long READER_MAX_INTERVAL_MILLIS = 2_000;
    private static final long AFTER_CHANGE_MILLIS = 200;

    /**
     * While the service fails, each of n hosts that must read calls it every sqrt(n) x 250 ms, at most once a second: 8
     * calls a second in total with 8 hosts, 81 with 410. The rate grows with the square root of the size of the fleet.
     */
    private static final double INTERVAL_MILLIS_PER_SQRT_HOST = 250;

    /**
     * Fraction of the interval over which hosts that miss reads of the service at the same time spread their first calls.
     * With 410 hosts this is 3 s; with the 5 s until they notice and the distribution of the sheet, it stays below 10 s.
     */
    private static final double FIRST_CALL_SPREAD = 0.6;

    private static final double JITTER = 0.25;

    private final HostId self;
    private final RandomGenerator random;
    private List<HostId> ranking = List.of();
    private boolean regionReader;
    private int hostCount = 1;
    private boolean inFlight;
    private boolean calling;
    private int failures;
    private long nextCallAtMillis;
    private long calledAtMillis;
    private long ownSuccessAtMillis = Long.MIN_VALUE / 2;
    private HostId otherReader;
    private long otherContactAtMillis = Long.MIN_VALUE / 2;

    ServiceReader(HostId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /** Sets the expected number of hosts until the first sheet arrives; it determines the rate of calls. */
    void fleetSize(int size) {
        hostCount = Math.max(1, size);
    }

    void sheet(Sheet sheet) {
        List<Host> active = sheet.activeHosts();
        hostCount = Math.max(1, active.size());
        ranking = RendezvousHash.rank("sheet", active, h -> h.id().value()).stream()
                .map(Host::id)
                .toList();
        Host own = sheet.hosts().get(self);
        Optional<RegionId> region = own == null ? Optional.empty() : sheet.regionOf(own.dataCentre());
        List<Host> inRegion = active.stream()
                .filter(h -> sheet.regionOf(h.dataCentre()).equals(region))
                .toList();
        regionReader =
                RendezvousHash.rankSpread("sheet", inRegion, h -> h.id().value(), Host::dataCentre, READERS_PER_REGION)
                        .stream()
                        .anyMatch(h -> h.id().equals(self));
    }

    /** Updates the most recent read by another host from what a peer reports. */
    void onContact(ServiceContact contact, long nowMillis) {
        long at = nowMillis - Math.max(0, contact.ageMillis());
        if (!contact.reader().equals(self) && at > otherContactAtMillis) {
            otherReader = contact.reader();
            otherContactAtMillis = at;
        }
    }

    Optional<ServiceContact> contact(long nowMillis) {
        boolean own = ownSuccessAtMillis >= otherContactAtMillis;
        long age = nowMillis - (own ? ownSuccessAtMillis : otherContactAtMillis);
        return age > 2 * CONTACT_VALID_MILLIS
                ? Optional.empty()
                : Optional.of(new ServiceContact(own ? self : otherReader, (int) age));
    }

    long ownSuccessAtMillis() {
        return ownSuccessAtMillis;
    }

    /** Tells whether a call must be made now, and records that it is made. */
    boolean isCallDue(long nowMillis) {
        if (inFlight && nowMillis - calledAtMillis >= ANSWER_DEADLINE_MILLIS) {
            failed(nowMillis);
        }
        if (!mustRead(nowMillis)) {
            calling = false;
            failures = 0;
            return false;
        }
        if (!calling) {
            calling = true;
            double spread = regionReader ? 0 : retryMillis() * FIRST_CALL_SPREAD * random.nextDouble();
            nextCallAtMillis = Math.max(nextCallAtMillis, nowMillis + (long) spread);
        }
        if (inFlight || nowMillis < nextCallAtMillis) {
            return false;
        }
        inFlight = true;
        calledAtMillis = nowMillis;
        return true;
    }

    private boolean mustRead(long nowMillis) {
        boolean otherReads = nowMillis - otherContactAtMillis < CONTACT_VALID_MILLIS;
        // Without a sheet this host cannot reach its peers, so it does not benefit from their reads.
        boolean hasSheet = !ranking.isEmpty();
        if (regionReader || !otherReads || !hasSheet) {
            return true;
        }
        boolean reading = nowMillis - ownSuccessAtMillis < CONTACT_VALID_MILLIS;
        return reading && rank(self) < rank(otherReader);
    }

    private int rank(HostId host) {
        int index = ranking.indexOf(host);
        return index < 0 ? Integer.MAX_VALUE : index;
    }

    void succeeded(boolean changed, long nowMillis) {
        inFlight = false;
        failures = 0;
        ownSuccessAtMillis = nowMillis;
        nextCallAtMillis =
                changed ? nowMillis + AFTER_CHANGE_MILLIS : Math.max(nowMillis, calledAtMillis + WATCH_MILLIS);
    }

    void failed(long nowMillis) {
        inFlight = false;
        failures++;
        double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
        nextCallAtMillis = nowMillis + (long) (retryMillis() * jitter);
    }

    private double retryMillis() {
        double bound = Math.max(MIN_INTERVAL_MILLIS, Math.sqrt(hostCount) * INTERVAL_MILLIS_PER_SQRT_HOST);
        double backoff = MIN_INTERVAL_MILLIS * Math.pow(2, Math.min(failures, 10) - 1.0);
        double limit = regionReader ? Math.min(bound, READER_MAX_INTERVAL_MILLIS) : bound;
        return regionReader ? Math.min(limit, backoff) : limit;
    }
}
