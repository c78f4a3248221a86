package org.guavathread.gateway.fleet;

import java.util.List;

import org.guavathread.core.dispatch.WaitingRank;
import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.GossipPacket;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.gossip.HostSign;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.gateway.call.Parts;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.router.http.HttpAnswer;
import org.guavathread.wire.CodecException;
import org.tinylog.Logger;

/** Tells other hosts about this one, and applies what they tell. Runs on the event loop's thread. */
public final class Reporter implements RequestRouter.FleetLoad {

    /** Time between two reports; a host is out of reach after five missed ones. */
    private static final long EVERY_MILLIS = 250;

    /** Shortest time between two reports; room that becomes free is news for hosts with waiting requests. */
    private static final long SOON_MILLIS = 60;

    /** Time between two sums over the reports of other hosts; they are kept while requests are placed. */
    private static final long SUM_MILLIS = 30;

    /** Reports of other hosts in one datagram, at most. */
    private static final int MAX_PASSED_ON = 8;

    /** Signs of life in one datagram: about 16 bytes each, half of a datagram. */
    private static final int MAX_SIGNS = 48;

    private static final int STATUS_OK = 200;

    /**
     * What stays the same in all reports of this process.
     *
     * @param host this host
     * @param incarnation start time of this process
     * @param dataCentre where it runs
     * @param callers where it listens for callers
     * @param peers where it listens for hosts
     */
    public record Identity(
            HostId host,
            long incarnation,
            DataCentreId dataCentre,
            SocketAddressText callers,
            SocketAddressText peers) {}

    private final Identity identity;
    private final Parts parts;
    private final FleetView fleet;
    private final GossipSocket socket;
    private final FleetRelay relay = new FleetRelay();
    private HostPhase phase = HostPhase.STARTING;
    private long sequence;
    private int within = -1;
    private long sentAtMillis;
    private long summedAtMillis;
    private boolean soon;
    private RequestRouter router;

    /**
     * Builds the reporter.
     *
     * @param identity what stays the same
     * @param parts what the reports tell
     * @param fleet the other hosts
     * @param socket sends datagrams
     */
    public Reporter(Identity identity, Parts parts, FleetView fleet, GossipSocket socket) {
        this.identity = identity;
        this.parts = parts;
        this.fleet = fleet;
        this.socket = socket;
    }

    /**
     * Changes what this host can do for callers, and tells the others at once.
     *
     * @param next the new phase
     */
    public void phase(HostPhase next) {
        if (phase != next) {
            phase = next;
            parts.log().entry("phase").with("outcome", next).write();
            send();
        }
    }

    /**
     * Gives what this host can do for callers.
     *
     * @return the phase
     */
    public HostPhase phase() {
        return phase;
    }

    /**
     * Reports now and at regular times from now on.
     *
     * @param requests counts this host's requests that wait for room
     */
    public void start(RequestRouter requests) {
        router = requests;
        repeat();
    }

    private void repeat() {
        send();
        parts.loop().at(parts.loop().nowMillis() + EVERY_MILLIS, this::repeat);
    }

    /**
     * Reports to one address.
     *
     * @param peer where another host listens
     */
    public void greet(SocketAddressText peer) {
        socket.send(peer, packet(parts.loop().nowMillis()));
    }

    /** Reports a change of this host's load before the next regular time, if requests wait anywhere. */
    @Override
    public void changed() {
        long now = parts.loop().nowMillis();
        if (soon || router.waiting() == 0 && !fleet.othersWait(now)) {
            return;
        }
        soon = true;
        parts.loop().at(Math.max(now, sentAtMillis + SOON_MILLIS), () -> {
            soon = false;
            send();
        });
    }

    @Override
    public WaitingRank bestWaitingElsewhere() {
        return fleet.bestWaitingElsewhere(parts.loop().nowMillis());
    }

    /**
     * Applies what another host tells.
     *
     * @param packet its report and those that it passes on
     */
    public void hear(GossipPacket packet) {
        hear(packet.own());
        packet.others().forEach(this::hear);
        long now = parts.loop().nowMillis();
        packet.signs().forEach(sign -> fleet.hear(sign, packet.own().host(), now));
    }

    private void hear(HostReport report) {
        long now = parts.loop().nowMillis();
        if (!fleet.hear(report, now)) {
            return;
        }
        report.admitted().forEach(total -> {
            double news = parts.limits().report(report.host(), report.incarnation(), total.workspace(), total.units());
            parts.shares().used(total.workspace(), news, now);
        });
        parts.suspects().report(report.host(), report.crashed(), now);
        if (now - summedAtMillis >= SUM_MILLIS) {
            summedAtMillis = now;
            parts.loads().others(fleet.loadOfOthers(now));
        }
    }

    private void send() {
        long now = parts.loop().nowMillis();
        sentAtMillis = now;
        fleet.expire(now);
        parts.shares().expire(now);
        parts.limits().reachable(fleet.reachableShare(now));
        parts.retries().hosts(fleet.size());
        parts.loads().others(fleet.loadOfOthers(now));
        noteReach(fleet.withinReach(now).size());
        byte[] bytes = packet(now);
        fleet.receivers(identity.peers()).forEach(to -> socket.send(to, bytes));
        fleet.behind(now).ifPresent(this::askForReports);
    }

    private void askForReports(HostReport peer) {
        parts.client()
                .send(peer.peers(), relay.request(parts.loop().nowMillis()))
                .whenComplete((answer, failure) -> parts.loop().execute(() -> reportsCame(peer, answer, failure)));
    }

    private void reportsCame(HostReport peer, HttpAnswer answer, Throwable failure) {
        if (failure != null || answer.status() != STATUS_OK) {
            Logger.warn(
                    "Host {} did not give the reports that it knows: {}.",
                    peer.host(),
                    failure == null ? "status " + answer.status() : failure.getMessage());
            return;
        }
        try {
            hear(relay.decode(answer.body()));
        } catch (CodecException e) {
            Logger.warn("The reports of host {} cannot be decoded: {}.", peer.host(), e.getMessage());
        }
    }

    /**
     * Gives all reports for a host that knows fewer hosts.
     *
     * @return the encoded reports of this host and all hosts within its reach
     */
    public byte[] allReports() {
        long now = parts.loop().nowMillis();
        return relay.encode(new GossipPacket(own(now), fleet.withinReach(now), List.of()));
    }

    private void noteReach(int hosts) {
        if (hosts != within) {
            parts.log()
                    .entry("fleet")
                    .with("withinReach", hosts)
                    .with("known", fleet.size() - 1)
                    .with("before", within)
                    .write();
            within = hosts;
        }
    }

    /** Passes on signs of life, and as many reports as fit beside them into one datagram. */
    private byte[] packet(long nowMillis) {
        HostReport own = own(nowMillis);
        List<HostSign> signs = fleet.signs(MAX_SIGNS, nowMillis);
        List<HostReport> others = fleet.toPassOn(MAX_PASSED_ON, nowMillis);
        byte[] bytes = socket.encode(new GossipPacket(own, others, signs));
        while (bytes.length > GossipSocket.MAX_DATAGRAM_BYTES && !others.isEmpty()) {
            others = others.subList(0, others.size() - 1);
            bytes = socket.encode(new GossipPacket(own, others, signs));
        }
        fleet.passedOn(others);
        while (bytes.length > GossipSocket.MAX_DATAGRAM_BYTES && !signs.isEmpty()) {
            signs = signs.subList(0, signs.size() / 2);
            bytes = socket.encode(new GossipPacket(own, others, signs));
        }
        return bytes;
    }

    private HostReport own(long nowMillis) {
        return new HostReport(
                identity.host(),
                identity.incarnation(),
                ++sequence,
                identity.dataCentre(),
                identity.callers(),
                identity.peers(),
                phase,
                parts.state().revision(),
                parts.limits().totals(),
                fleet.withinReach(nowMillis).size() + 1,
                router.waiting(),
                router.bestWaiting(),
                parts.loads().report(),
                parts.suspects().report(nowMillis));
    }
}
