package org.guavathread.router.service;

import java.util.List;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.RequestKind;
import org.guavathread.core.retry.CrashFingerprints;
import org.guavathread.core.retry.CrashNotice;
import org.guavathread.core.retry.Fingerprint;
import org.guavathread.core.retry.RetryBudget;
import org.guavathread.core.time.Clock;
import org.guavathread.router.backend.BackendRegistry;
import org.guavathread.router.fleet.FleetSnapshot;
import org.guavathread.router.fleet.FleetState;
import org.guavathread.router.peer.PeerNetwork;

/** Decides about retries and about requests that crash backend servers. Thread-safe; its decisions are short. */
public final class RetryService {

    private static final int OWNERS = 2;
    private static final int FAN_OUT = 4;

    /** A crashed engine takes seconds to come back, since it loads its weights again. */
    private static final long PROBE_MILLIS = 500;

    private final HostId self;
    private final FleetState fleet;
    private final PeerNetwork network;
    private final BackendRegistry backends;
    private final Clock clock;
    private final RetryBudget budget = new RetryBudget();
    private final CrashFingerprints crashes = new CrashFingerprints();

    /**
     * Builds the service.
     *
     * @param self this host
     * @param fleet what is known about the fleet
     * @param network the way to other hosts
     * @param backends tells whether a backend server still answers
     * @param clock source of the time
     */
    public RetryService(HostId self, FleetState fleet, PeerNetwork network, BackendRegistry backends, Clock clock) {
        this.self = self;
        this.fleet = fleet;
        this.network = network;
        this.backends = backends;
        this.clock = clock;
    }

    /**
     * Registers the messages of this service.
     *
     * @param router passes messages on
     */
    public void register(PeerRouter router) {
        router.on(CrashNotice.class, (from, notice, reply) -> noticed(notice));
    }

    /** Counts a request that a caller sent. */
    public void requestStarted() {
        synchronized (budget) {
            budget.requestStarted();
        }
    }

    /**
     * Forgets a request that has ended.
     *
     * @param request the request
     */
    public void requestEnded(RequestId request) {
        synchronized (budget) {
            budget.requestEnded(request);
        }
    }

    /**
     * Asks whether a request may be sent to a second backend server.
     *
     * @param request the request
     * @param kind its kind
     * @return true if it may
     */
    public boolean tryRetry(RequestId request, RequestKind kind) {
        synchronized (budget) {
            return budget.tryRetry(request, kind);
        }
    }

    /**
     * Tells whether a request is refused because it crashes backend servers.
     *
     * @param fingerprint its fingerprint
     * @return true while the refusal lasts
     */
    public boolean isCrashSuspect(Fingerprint fingerprint) {
        synchronized (crashes) {
            return crashes.isRefused(fingerprint, clock.nowMillis());
        }
    }

    /**
     * Reports a request whose connection to a backend server broke. It counts as a crash only if the server does not
     * answer a new request either, because a connection can break for other reasons.
     *
     * @param server the backend server
     * @param running fingerprint of the request
     */
    public void connectionLost(BackendServerId server, Fingerprint running) {
        backends.answers(server, clock.nowMillis() + PROBE_MILLIS).thenAccept(answers -> {
            if (!answers) {
                serverCrashed(server, running);
            }
        });
    }

    private void serverCrashed(BackendServerId server, Fingerprint running) {
        synchronized (crashes) {
            deliver(crashes.serverCrashed(server, List.of(running), this::ownersOf, clock.nowMillis()));
        }
    }

    private void noticed(CrashNotice notice) {
        synchronized (crashes) {
            deliver(crashes.noticed(notice, someHosts(notice.fingerprint()), clock.nowMillis()));
        }
    }

    private void deliver(List<CrashFingerprints.Send> sends) {
        for (CrashFingerprints.Send send : sends) {
            if (send.to().equals(self)) {
                noticed(send.notice());
            } else {
                network.send(send.to(), send.notice());
            }
        }
    }

    private List<HostId> ownersOf(Fingerprint fingerprint) {
        return fleet.now().epochs().current().owners(fingerprint.ownerKey(), OWNERS);
    }

    /** Ranks by this host as well, so that each host passes a refusal on to other ones. */
    private List<HostId> someHosts(Fingerprint fingerprint) {
        FleetSnapshot now = fleet.now();
        String key = "notice:" + self + fingerprint.ownerKey();
        return now.epochs().current().owners(key, FAN_OUT + 1).stream()
                .filter(h -> !h.equals(self))
                .limit(FAN_OUT)
                .toList();
    }
}
