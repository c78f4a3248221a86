package org.guavathread.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.GossipPacket;
import org.guavathread.core.gossip.HostHeartbeat;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.DepartedServers;
import org.guavathread.core.registry.DepartureNotice;
import org.guavathread.core.share.SpendingNotice;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.router.http.HttpResponse;
import org.guavathread.wire.CodecException;
import org.tinylog.Logger;

/** Sends this host's gossip reports and applies those of other hosts. Runs on the event loop's thread. */
public final class GossipReporter implements RequestRouter.FleetLoad {

    /** Report interval of a fleet of up to 40 hosts; a host counts as unreachable after five missed reports. */
    private static final long REPORT_INTERVAL_MILLIS = 250;

    /** Minimum time between two sums of the requests by priority; their averages follow over seconds. */
    private static final long DEMAND_INTERVAL_MILLIS = 100;

    /** Minimum time between two reports; freed capacity is reported early so that hosts with waiting requests use it. */
    private static final long MIN_REPORT_INTERVAL_MILLIS = 60;

    /** Minimum time between two summations of other hosts' load; the sum is cached for request placement. */
    private static final long LOAD_SUM_INTERVAL_MILLIS = 30;

    /** Maximum number of heartbeats in one datagram: at about 16 bytes each, half of a datagram. */
    private static final int MAX_HEARTBEATS = 48;

    /** Maximum number of workspaces' totals in one datagram: at about 20 bytes each, less than a datagram. */
    private static final int MAX_SPENDING_TOTALS = 48;

    private static final int STATUS_OK = 200;

    /**
     * The fields that are the same in all reports of this process.
     *
     * @param host this host
     * @param incarnation start time of this process
     * @param dataCentre data centre of this host
     * @param callers address for callers
     * @param peers address for other hosts
     * @param capacity what its processor can do, in thousandths of a core; 0 if not known
     */
    public record Identity(
            HostId host,
            long incarnation,
            DataCentreId dataCentre,
            SocketAddressText callers,
            SocketAddressText peers,
            int capacity) {}

    private final Identity identity;
    private final GatewayContext context;
    private final FleetView fleet;
    private final GossipSocket socket;
    private final FleetRelay relay = new FleetRelay();
    private final UnreadableMessages unreadable;
    private final ForwardableReports forwardable = new ForwardableReports(GossipSocket.MAX_DATAGRAM_BYTES);
    private HostPhase phase = HostPhase.STARTING;
    private long sequence;
    private int reachableHosts = -1;
    private int blamedTraits;
    private long sentAtMillis;
    private long summedAtMillis;
    private long spendingSentAtMillis;
    private long demandUpdatedAtMillis;
    private boolean reportScheduled;
    private boolean cutOff;
    private RequestRouter router;

    /**
     * Creates the reporter.
     *
     * @param identity the constant fields of each report
     * @param context source of the reported state; updated by received reports
     * @param fleet this host's view of the other hosts
     * @param socket sends datagrams
     */
    public GossipReporter(Identity identity, GatewayContext context, FleetView fleet, GossipSocket socket) {
        this.identity = identity;
        this.context = context;
        this.fleet = fleet;
        this.socket = socket;
        this.unreadable = new UnreadableMessages("list of reports", context.metrics());
    }

    /**
     * Changes this host's phase and reports it immediately.
     *
     * @param next the new phase
     */
    public void phase(HostPhase next) {
        if (phase != next) {
            phase = next;
            context.log().entry("phase").with("outcome", next).write();
            send();
        }
    }

    /**
     * Reports whether all servers are out of this host's reach.
     *
     * @param isCutOff true if it serves requests through other hosts only
     */
    public void cutOff(boolean isCutOff) {
        if (cutOff != isCutOff) {
            cutOff = isCutOff;
            reportEarly();
        }
    }

    /**
     * Returns this host's phase.
     *
     * @return the phase
     */
    public HostPhase phase() {
        return phase;
    }

    /**
     * Sends the first report and schedules the periodic ones.
     *
     * @param requests source of the number and rank of waiting requests
     */
    public void start(RequestRouter requests) {
        router = requests;
        context.crashSuspects().onNews(this::reportEarly);
        context.notices().onDeparture(this::reportEarly);
        sendPeriodically();
    }

    private void sendPeriodically() {
        send();
        long intervalMillis = fleet.reportIntervalMillis(REPORT_INTERVAL_MILLIS);
        context.loop().schedule(context.loop().nowMillis() + intervalMillis, this::sendPeriodically);
    }

    /**
     * Sends a report to one address.
     *
     * @param peer another host's peer address
     */
    public void announceTo(SocketAddressText peer) {
        sendPacket(List.of(peer), context.loop().nowMillis());
    }

    /** Reports a load change before the next periodic report if requests are waiting at any host. */
    @Override
    public void loadChanged() {
        if (router.waiting() > 0 || fleet.othersWait(context.loop().nowMillis())) {
            reportEarly();
        }
    }

    private void reportEarly() {
        if (reportScheduled) {
            return;
        }
        reportScheduled = true;
        long now = context.loop().nowMillis();
        long earliestMillis = sentAtMillis + fleet.reportIntervalMillis(MIN_REPORT_INTERVAL_MILLIS);
        context.loop().schedule(Math.max(now, earliestMillis), () -> {
            reportScheduled = false;
            send();
        });
    }

    @Override
    public WaitingRank bestWaitingElsewhere() {
        return fleet.bestWaitingElsewhere(context.loop().nowMillis());
    }

    @Override
    public boolean othersServe() {
        return !fleet.hostsForCallers(cutOff, context.loop().nowMillis()).isEmpty();
    }

    @Override
    public boolean decidesFor(String key) {
        List<HostId> ready = readyHosts(context.loop().nowMillis());
        return !ready.isEmpty()
                && RendezvousHash.rank(key, ready, HostId::value).get(0).equals(identity.host());
    }

    /** Returns the hosts that serve callers, including this one if it does. */
    private List<HostId> readyHosts(long nowMillis) {
        List<HostId> ready = new ArrayList<>();
        if (phase.takesCallers()) {
            ready.add(identity.host());
        }
        fleet.reachableHosts(nowMillis).stream()
                .filter(r -> r.phase().takesCallers())
                .forEach(r -> ready.add(r.host()));
        return ready;
    }

    /**
     * Applies a packet from another host.
     *
     * @param packet the sender's report, and the reports and heartbeats that it forwards
     */
    public void receive(GossipPacket packet) {
        long now = context.loop().nowMillis();
        if (fleet.apply(packet.own(), now)) {
            applied(packet.own(), now);
        }
        for (HostReport other : packet.others()) {
            if (fleet.applyForwarded(other, now)) {
                applied(other, now);
            }
        }
        packet.heartbeats().forEach(sign -> fleet.apply(sign, packet.own().host(), now));
    }

    private void applied(HostReport report, long nowMillis) {
        int process = HostHeartbeat.processOf(report.host(), report.incarnation());
        context.limits()
                .applyTotals(process, report.sequence(), report.admitted(), nowMillis)
                .forEach(spent -> context.shares().recordUsage(spent.workspace(), spent.units(), nowMillis));
        context.crashSuspects().merge(report.crashed(), nowMillis);
        context.serverLimits().merge(report.limits(), nowMillis);
        if (nowMillis - summedAtMillis >= LOAD_SUM_INTERVAL_MILLIS) {
            sumReports(nowMillis);
        }
    }

    /**
     * Applies what other hosts have spent of limits that are nearly used up.
     *
     * @param notice their totals
     */
    public void receive(SpendingNotice notice) {
        long now = context.loop().nowMillis();
        int own = HostHeartbeat.processOf(identity.host(), identity.incarnation());
        notice.totals().stream()
                .filter(total -> total.process() != own)
                .forEach(total -> context.limits()
                        .apply(total, now)
                        .ifPresent(spent -> context.shares().recordUsage(spent.workspace(), spent.units(), now)));
    }

    private void sumReports(long nowMillis) {
        summedAtMillis = nowMillis;
        context.loads()
                .remoteLoadsChanged(() -> fleet.loadOfOthers(context.loop().nowMillis()));
        context.health().replaceUnreachableForOthers(fleet.unreachableForOthers(nowMillis), nowMillis);
        if (nowMillis - demandUpdatedAtMillis >= DEMAND_INTERVAL_MILLIS) {
            demandUpdatedAtMillis = nowMillis;
            context.demand().update(router.priorityLoads(), fleet.prioritiesElsewhere(nowMillis), nowMillis);
        }
    }

    private void send() {
        long now = context.loop().nowMillis();
        sentAtMillis = now;
        fleet.expire(now);
        context.shares().expire(now);
        context.limits().setFleet(fleet.size(), fleet.reachableShare(now));
        context.retries().setHostCount(fleet.size());
        context.serverLimits().setHosts(readyHosts(now), fleet.reachableShare(now));
        sumReports(now);
        logReachableHosts(fleet.reachableHosts(now).size());
        logBlamedTraits(context.crashSuspects().blamedCount());
        List<SocketAddressText> receivers = fleet.receivers(identity.peers());
        sendPacket(receivers, now);
        sendDepartures(receivers, now);
        sendSpending(receivers, now);
        fleet.nextSyncSource(now).ifPresent(this::requestReports);
    }

    /** Tells other hosts which servers leave, in a message of its own that earlier builds can ignore. */
    private void sendDepartures(List<SocketAddressText> receivers, long nowMillis) {
        List<DepartedServers.Departure> news = context.state().departureNews(nowMillis);
        if (!news.isEmpty()) {
            byte[] notice = socket.encode(new DepartureNotice(news));
            receivers.forEach(to -> socket.send(to, notice));
        }
    }

    private void sendSpending(List<SocketAddressText> receivers, long nowMillis) {
        if (nowMillis - spendingSentAtMillis < REPORT_INTERVAL_MILLIS) {
            return;
        }
        spendingSentAtMillis = nowMillis;
        context.limits().expire(nowMillis);
        int own = HostHeartbeat.processOf(identity.host(), identity.incarnation());
        List<SpendingNotice.Total> totals = context.limits().news(own, sequence, MAX_SPENDING_TOTALS, nowMillis);
        if (!totals.isEmpty()) {
            byte[] notice = socket.encode(new SpendingNotice(totals));
            context.metrics().sent("spending", "SENT");
            receivers.forEach(to -> socket.send(to, notice));
        }
    }

    private void requestReports(HostReport peer) {
        context.client()
                .send(peer.peers(), relay.request(context.loop().nowMillis()))
                .whenComplete(
                        (answer, failure) -> context.loop().complete(() -> reportsReceived(peer, answer, failure)));
    }

    private void reportsReceived(HostReport peer, HttpResponse answer, Throwable failure) {
        if (failure != null || answer.status() != STATUS_OK) {
            Logger.warn(
                    "Reading the reports known to host {} failed: {}.",
                    peer.host(),
                    failure == null ? "status " + answer.status() : failure.getMessage());
            return;
        }
        try {
            receive(relay.decode(answer.body()));
        } catch (CodecException e) {
            unreadable.count(peer.host(), e);
        }
    }

    /**
     * Encodes all known reports, for a host that knows fewer hosts.
     *
     * @return the encoded reports of this host and of all reachable hosts
     */
    public byte[] encodeAllReports() {
        long now = context.loop().nowMillis();
        return relay.encode(new GossipPacket(ownReport(now), fleet.reachableHosts(now), List.of()));
    }

    private void logReachableHosts(int hosts) {
        if (hosts != reachableHosts) {
            context.log()
                    .entry("fleet")
                    .with("withinReach", hosts)
                    .with("known", fleet.size() - 1)
                    .with("before", reachableHosts)
                    .write();
            reachableHosts = hosts;
        }
    }

    private void logBlamedTraits(int blamed) {
        if (blamed != blamedTraits) {
            context.log()
                    .entry("suspects")
                    .with("blamed", blamed)
                    .with("before", blamedTraits)
                    .write();
            blamedTraits = blamed;
        }
    }

    /** Sends this host's report, heartbeats, and as many other reports as fit into one datagram. */
    private void sendPacket(List<SocketAddressText> receivers, long nowMillis) {
        HostReport own = ownReport(nowMillis);
        List<HostHeartbeat> heartbeats = fleet.heartbeatsToForward(MAX_HEARTBEATS, nowMillis);
        List<HostReport> others = fleet.reportsToForward(forwardable.next(), nowMillis);
        byte[] bytes = encode(own, others, heartbeats);
        while (bytes.length > GossipSocket.MAX_DATAGRAM_BYTES && !others.isEmpty()) {
            int tooLong = bytes.length;
            others = others.subList(0, others.size() - 1);
            bytes = encode(own, others, heartbeats);
            forwardable.tooMany(tooLong - bytes.length);
        }
        forwardable.sent(others.size(), bytes.length);
        fleet.markForwarded(others);
        while (bytes.length > GossipSocket.MAX_DATAGRAM_BYTES && !heartbeats.isEmpty()) {
            heartbeats = heartbeats.subList(0, heartbeats.size() / 2);
            bytes = encode(own, others, heartbeats);
        }
        GossipPacket packet = new GossipPacket(own, others, heartbeats);
        Map<Integer, byte[]> byFields = new HashMap<>();
        byFields.put(ReportFormats.OWN_FIELDS, bytes);
        for (SocketAddressText to : receivers) {
            for (int fields : socket.fieldsFor(to)) {
                socket.send(to, byFields.computeIfAbsent(fields, f -> socket.encode(packet, f)));
            }
        }
    }

    private byte[] encode(HostReport own, List<HostReport> others, List<HostHeartbeat> heartbeats) {
        return socket.encode(new GossipPacket(own, others, heartbeats), ReportFormats.OWN_FIELDS);
    }

    private HostReport ownReport(long nowMillis) {
        return new HostReport(
                identity.host(),
                identity.incarnation(),
                ++sequence,
                identity.dataCentre(),
                identity.callers(),
                identity.peers(),
                phase,
                context.state().position(),
                context.state().version(),
                context.limits().totals(),
                fleet.reachableHosts(nowMillis).size() + 1,
                router.waiting(),
                router.bestWaiting(),
                context.loads().localLoads(),
                context.health()
                        .serversNotConnected(context.state().registry().ids().size(), nowMillis),
                context.crashSuspects().report(nowMillis),
                context.serverLimits().report(nowMillis),
                cutOff,
                identity.capacity(),
                router.priorityLoads());
    }
}
