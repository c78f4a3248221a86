package org.guavathread.core.share;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostHeartbeat;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.publish.StorePosition;
import org.guavathread.core.routing.WorkspaceTerms;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * Hosts that limit one workspace, on a virtual clock. They exchange reports as {@link FleetView} has it, with one forwarded
 * report a datagram: reports of hosts with load on some engines fill it. Callers choose a host at random and come back once
 * when they are refused, after the time that they are told but no later than after a third of what they have left.
 */
final class LimitedFleet {

    private static final long REPORT_INTERVAL_MILLIS = 250;
    private static final long STEP_MILLIS = 10;
    private static final long TRANSIT_MILLIS = 10;
    private static final long MAX_RETRY_AFTER_MILLIS = 14_000 / 3;
    private static final int FORWARDED_REPORTS = 1;

    /** Time in which the hosts find each other. */
    private static final long FIRST_REQUEST_MILLIS = 15_000;

    /** One admission. */
    record Admission(long atMillis, double units) {}

    /** What a day came to, in units. */
    record Outcome(List<Admission> admissions, double asked, double ran, double refusedInTheEnd) {

        double maxUnitsInWindow(long windowMillis) {
            Deque<Admission> window = new ArrayDeque<>();
            double sum = 0;
            double max = 0;
            for (Admission next : admissions) {
                window.add(next);
                sum += next.units();
                while (window.peek().atMillis() <= next.atMillis() - windowMillis) {
                    sum -= window.remove().units();
                }
                max = Math.max(max, sum);
            }
            return max;
        }
    }

    /** Demand of a workspace in units a second. */
    interface Demand {
        double unitsPerSecondAt(long millis);
    }

    /**
     * What becomes of admitted requests.
     *
     * @param shareThatRuns share of them that runs; the others are refused as not run when they have waited
     * @param waitMillis how long they wait
     * @param isChargedAtOnce whether they are debited on admission and refunded, in place of being held
     */
    record Pool(double shareThatRuns, long waitMillis, boolean isChargedAtOnce) {

        static final Pool WITH_ROOM = new Pool(1, 0, true);
    }

    private record Arrival(long atMillis, double units, boolean isRetry) {}

    private record Waiting(long untilMillis, double units, Host host) {}

    private static final class Host {
        private final HostId id;
        private final SocketAddressText address;
        private final FleetView view;
        private final SharedTokenLimits limits;
        private long nextReportMillis;
        private long sequence;

        private Host(int number, double slack, List<SocketAddressText> seeds) {
            id = new HostId("h" + number);
            address = address(number);
            view = new FleetView(id, 1, seeds, new SplittableRandom(number));
            limits = new SharedTokenLimits(slack, true);
            nextReportMillis = new SplittableRandom(number).nextInt((int) REPORT_INTERVAL_MILLIS);
        }

        private HostReport report(long now) {
            return new HostReport(
                    id,
                    1,
                    ++sequence,
                    new DataCentreId("here"),
                    address,
                    address,
                    HostPhase.READY,
                    new StorePosition(1, 1),
                    1,
                    limits.totals(),
                    view.reachableHosts(now).size() + 1,
                    0,
                    WaitingRank.NONE,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    false,
                    0,
                    List.of());
        }

        private int process() {
            return HostHeartbeat.processOf(id, 1);
        }

        private void receive(HostReport report, long now) {
            if (view.apply(report, now)) {
                limits.applyTotals(
                        HostHeartbeat.processOf(report.host(), 1), report.sequence(), report.admitted(), now);
            }
        }
    }

    private record Datagram(
            long arrivesAtMillis,
            Host to,
            HostReport own,
            List<HostReport> others,
            List<HostHeartbeat> heartbeats,
            List<SpendingNotice.Total> spending) {}

    private final List<Host> hosts = new ArrayList<>();
    private final Deque<Datagram> inTransit = new ArrayDeque<>();
    private final SplittableRandom random;

    LimitedFleet(int size, double slack, long seed) {
        random = new SplittableRandom(seed);
        List<SocketAddressText> seeds = List.of(address(0), address(size / 2), address(size - 1));
        for (int i = 0; i < size; i++) {
            hosts.add(new Host(i, slack, seeds));
        }
    }

    private static SocketAddressText address(int number) {
        return new SocketAddressText("127.0.0.1", 1_000 + number);
    }

    /** Lets the hosts find each other, then plays a demand. */
    Outcome play(WorkspaceTerms terms, Demand demand, double unitsOfRequest, Pool pool, long untilMillis) {
        PriorityQueue<Arrival> arrivals = new PriorityQueue<>(Comparator.comparingLong(Arrival::atMillis));
        Deque<Waiting> waiting = new ArrayDeque<>();
        List<Admission> ran = new ArrayList<>();
        double pending = 0;
        double asked = 0;
        double refused = 0;
        for (long now = 0; now < FIRST_REQUEST_MILLIS + untilMillis; now += STEP_MILLIS) {
            exchange(now);
            if (now < FIRST_REQUEST_MILLIS) {
                continue;
            }
            long sinceStart = now - FIRST_REQUEST_MILLIS;
            pending += demand.unitsPerSecondAt(sinceStart) * STEP_MILLIS / 1_000 / unitsOfRequest;
            for (; pending >= 1; pending--) {
                arrivals.add(new Arrival(now, unitsOfRequest * (0.5 + random.nextDouble()), false));
            }
            while (!waiting.isEmpty() && waiting.peek().untilMillis() <= now) {
                end(waiting.remove(), terms, pool, now).ifPresent(ran::add);
            }
            while (!arrivals.isEmpty() && arrivals.peek().atMillis() <= now) {
                Arrival arrival = arrivals.remove();
                asked += arrival.isRetry() ? 0 : arrival.units();
                Host host = hosts.get(random.nextInt(hosts.size()));
                long waitMillis = host.limits.admit(terms, arrival.units(), now);
                if (waitMillis == 0) {
                    if (pool.isChargedAtOnce()) {
                        host.limits.send(terms, arrival.units(), now);
                    }
                    waiting.add(new Waiting(now + pool.waitMillis(), arrival.units(), host));
                } else if (arrival.isRetry()) {
                    refused += arrival.units();
                } else {
                    long millis = (long) (waitMillis * (1 + random.nextDouble() / 2));
                    arrivals.add(new Arrival(now + Math.min(MAX_RETRY_AFTER_MILLIS, millis), arrival.units(), true));
                }
            }
        }
        double units = ran.stream().mapToDouble(Admission::units).sum();
        return new Outcome(ran, asked, units, refused);
    }

    private Optional<Admission> end(Waiting request, WorkspaceTerms terms, Pool pool, long now) {
        SharedTokenLimits limits = request.host().limits;
        boolean runs = random.nextDouble() < pool.shareThatRuns();
        if (runs && (pool.isChargedAtOnce() || limits.send(terms, request.units(), now) == 0)) {
            return Optional.of(new Admission(now, request.units()));
        }
        if (pool.isChargedAtOnce()) {
            limits.refund(terms.id(), request.units());
        } else {
            limits.release(terms.id(), request.units());
        }
        return Optional.empty();
    }

    private void exchange(long now) {
        while (!inTransit.isEmpty() && inTransit.peek().arrivesAtMillis() <= now) {
            Datagram datagram = inTransit.remove();
            datagram.to().receive(datagram.own(), now);
            datagram.others().forEach(r -> datagram.to().receive(r, now));
            datagram.spending().stream()
                    .filter(t -> t.process() != datagram.to().process())
                    .forEach(t -> datagram.to().limits.apply(t, now));
            datagram.heartbeats()
                    .forEach(h -> datagram.to().view.apply(h, datagram.own().host(), now));
        }
        for (Host host : hosts) {
            if (now >= host.nextReportMillis) {
                host.nextReportMillis = now + host.view.reportIntervalMillis(REPORT_INTERVAL_MILLIS);
                send(host, now);
            }
        }
    }

    private void send(Host from, long now) {
        from.view.expire(now);
        from.limits.setFleet(from.view.size(), from.view.reachableShare(now));
        HostReport own = from.report(now);
        List<HostReport> others = from.view.reportsToForward(FORWARDED_REPORTS, now);
        from.view.markForwarded(others);
        List<HostHeartbeat> heartbeats = from.view.heartbeatsToForward(48, now);
        List<SpendingNotice.Total> spending = from.limits.news(from.process(), from.sequence, 48, now);
        for (SocketAddressText to : from.view.receivers(from.address)) {
            inTransit.add(new Datagram(
                    now + TRANSIT_MILLIS, hosts.get(to.port() - 1_000), own, others, heartbeats, spending));
        }
        from.view.nextSyncSource(now).ifPresent(ahead -> {
            Host source = hosts.get(ahead.peers().port() - 1_000);
            from.receive(source.report(now), now);
            source.view.reachableHosts(now).forEach(r -> from.receive(r, now));
        });
    }
}
