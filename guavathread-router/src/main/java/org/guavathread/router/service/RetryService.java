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

/** Decides on retries and refuses requests that crash backend servers. Thread-safe; its methods do not block. */
public final class RetryService {

    private static final int OWNERS_PER_FINGERPRINT = 2;
    private static final int FAN_OUT = 4;

    /** Shorter than the restart of a crashed engine, which takes seconds because it reloads its weights. */
    private static final long PROBE_TIMEOUT_MILLIS = 500;

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
     * @param fleet the current view of the fleet
     * @param network sends messages to other hosts
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
     * @param router dispatches received messages
     */
    public void register(PeerRouter router) {
        router.on(CrashNotice.class, (from, notice, reply) -> noticed(notice));
    }

    /** Counts a request of a caller towards the retry budget. */
    public void requestStarted() {
        synchronized (budget) {
            budget.requestStarted();
        }
    }

    /**
     * Discards the state of a request that has ended.
     *
     * @param request the request
     */
    public void requestEnded(RequestId request) {
        synchronized (budget) {
            budget.requestEnded(request);
        }
    }

    /**
     * Takes a retry from the budget, if the kind and the budget allow one.
     *
     * @param request the request
     * @param kind its kind
     * @return true if the request may be sent to another backend server
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
     * Reports that the connection of a request to a backend server broke. This counts as a crash only if the server does
     * not answer a probe either, because a connection can break for other reasons.
     *
     * @param server the backend server
     * @param running fingerprint of the request that it was running
     */
    public void connectionLost(BackendServerId server, Fingerprint running) {
        backends.answers(server, clock.nowMillis() + PROBE_TIMEOUT_MILLIS).thenAccept(answers -> {
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
            deliver(crashes.noticed(notice, fanOutHosts(notice.fingerprint()), clock.nowMillis()));
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
        return fleet.now().epochs().current().owners(fingerprint.ownerKey(), OWNERS_PER_FINGERPRINT);
    }

    /** Includes this host in the hash key, so that each host forwards a refusal to a different set of hosts. */
    private List<HostId> fanOutHosts(Fingerprint fingerprint) {
        FleetSnapshot now = fleet.now();
        String key = "notice:" + self + fingerprint.ownerKey();
        return now.epochs().current().owners(key, FAN_OUT + 1).stream()
                .filter(h -> !h.equals(self))
                .limit(FAN_OUT)
                .toList();
    }
}
