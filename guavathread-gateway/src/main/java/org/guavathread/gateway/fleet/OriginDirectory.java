package org.guavathread.gateway.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.guavathread.core.gossip.FleetView;
import org.guavathread.core.gossip.HostPhase;
import org.guavathread.core.gossip.HostReport;
import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.stream.StreamOriginNotice;
import org.guavathread.core.stream.StreamOrigins;
import org.guavathread.gateway.call.GatewayContext;
import org.guavathread.gateway.call.RequestRouter;
import org.guavathread.router.http.HttpResponse;
import org.guavathread.wire.CodecException;
import org.tinylog.Logger;

/**
 * Knows at which software version each caller's stream began. A host tells a few others, chosen by rendezvous hashing over
 * the attempt, when a stream begins, and asks them when a caller takes up a stream that it does not know. Where nobody is
 * left who knew, the stream can go on only if all servers of its time had the same version, as the store confirms. Runs on
 * the event loop's thread.
 */
public final class OriginDirectory implements RequestRouter.Origins {

    /** Number of other hosts that keep each origin; they are spread over data centres. */
    private static final int COPIES = 3;

    /** Lifetime of an origin if the caller's deadline is not known. */
    private static final long MAX_LIFETIME_MILLIS = 60_000;

    /** Time for which a host may go on using a server whose entry is gone, and so begin streams there. */
    private static final long LATE_USE_MILLIS = 5_000;

    /**
     * For how long a caller waits for the origin of its stream: reports of engines may be up to a second old, and the host
     * that passed the first event on may still be asking which process wrote it.
     */
    private static final long MAX_WAIT_MILLIS = 1_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final int STATUS_OK = 200;

    private final GatewayContext context;
    private final FleetView fleet;
    private final GossipSocket socket;
    private final StoreHistoryReader history;
    private final RequestRouter.StoreWord storeWord;
    private final RunSurvey survey;
    private final StreamOrigins origins = new StreamOrigins();
    private final OriginRelay relay = new OriginRelay();
    private final UnreadableMessages unreadable;
    private long startedAgainAtMillis = NEVER;

    /**
     * Creates a directory.
     *
     * @param context source of the servers' versions
     * @param fleet this host's view of the other hosts
     * @param socket sends notices
     * @param history the store's history, which is read when no host knows a stream
     * @param storeWord asks the store for its present state
     * @param isAssigned tells whether this host asks the engine with the given name, if hosts share the engines
     */
    public OriginDirectory(
            GatewayContext context,
            FleetView fleet,
            GossipSocket socket,
            StoreHistoryReader history,
            RequestRouter.StoreWord storeWord,
            Predicate<String> isAssigned) {
        this.storeWord = storeWord;
        this.context = context;
        this.fleet = fleet;
        this.socket = socket;
        this.history = history;
        this.survey = new RunSurvey(context, this::isRunning, storeWord, isAssigned);
        this.unreadable = new UnreadableMessages("stream's origin", context.metrics());
    }

    /** Asks the engines which streams they are running, as this host remembers none. */
    public void hostStarted() {
        startedAgainAtMillis = now();
        survey.start();
    }

    @Override
    public void began(String attemptId, SoftwareVersion version, long expiresAtMillis) {
        publish(attemptId, version, StreamOrigins.Source.FIRST_EVENT, expiresAtMillis - now());
    }

    private void isRunning(String attemptId, SoftwareVersion version) {
        SoftwareVersion resolved = context.state().registry().resolve(version);
        boolean isNew = !origins.find(StreamOrigins.keyOf(attemptId), now()).equals(Optional.of(resolved));
        if (isNew) {
            publish(attemptId, resolved, StreamOrigins.Source.RUNNING, MAX_LIFETIME_MILLIS);
        }
    }

    private void publish(String attemptId, SoftwareVersion version, StreamOrigins.Source source, long lifetimeMillis) {
        StreamOriginNotice notice = new StreamOriginNotice(
                StreamOrigins.keyOf(attemptId), version, (int) Math.min(MAX_LIFETIME_MILLIS, lifetimeMillis), source);
        receive(notice);
        byte[] bytes = socket.encode(notice);
        keepersOf(notice.attempt()).forEach(peer -> socket.send(peer.peers(), bytes));
    }

    /**
     * Keeps an origin for another host.
     *
     * @param notice the other host's notice
     */
    public void receive(StreamOriginNotice notice) {
        origins.record(notice.attempt(), notice.version(), notice.source(), now() + notice.lifetimeMillis(), now());
    }

    /**
     * Answers another host.
     *
     * @param attempt key of the attempt that it asks for
     * @return the encoded answer
     */
    public byte[] answer(long attempt) {
        return relay.encode(new OriginRelay.Origin(origins.find(attempt, now())));
    }

    @Override
    public void find(
            Optional<String> attemptId,
            ServiceName service,
            long maxAgeMillis,
            Consumer<Optional<SoftwareVersion>> onResult) {
        Search search = new Search(attemptId, service, maxAgeMillis + LATE_USE_MILLIS, onResult);
        Optional<SoftwareVersion> known = search.attempt.flatMap(key -> origins.find(key, now()));
        if (known.isPresent()) {
            search.found("known", known.get());
        } else if (search.attempt.isPresent()) {
            search.ask(search.attempt.get());
        } else {
            search.concludeFromVersions();
        }
    }

    private List<HostReport> keepersOf(long attempt) {
        List<HostReport> hosts = new ArrayList<>(fleet.reachableHosts(now()));
        hosts.removeIf(r -> r.phase() == HostPhase.LEAVING);
        return RendezvousHash.rankSpread(
                Long.toHexString(attempt), hosts, r -> r.host().value(), HostReport::dataCentre, COPIES);
    }

    private long now() {
        return context.loop().nowMillis();
    }

    /** The search for the origin of one stream. */
    private final class Search {

        private final Optional<String> attemptId;
        private final Optional<Long> attempt;
        private final ServiceName service;
        private final long maxAgeMillis;
        private final Consumer<Optional<SoftwareVersion>> onResult;
        private final long startedAtMillis = now();
        private Optional<String> concluded = Optional.empty();
        private int answersLeft;
        private boolean ended;

        private Search(
                Optional<String> attemptId,
                ServiceName service,
                long maxAgeMillis,
                Consumer<Optional<SoftwareVersion>> onResult) {
            this.attemptId = attemptId;
            this.attempt = attemptId.map(StreamOrigins::keyOf);
            this.service = service;
            this.maxAgeMillis = maxAgeMillis;
            this.onResult = onResult;
        }

        private Optional<Set<SoftwareVersion>> versionsOfItsTime() {
            return context.state().registry().versionsSince(service, now() - maxAgeMillis);
        }

        private Optional<SoftwareVersion> onlyVersion() {
            return versionsOfItsTime()
                    .filter(versions -> versions.size() == 1)
                    .map(versions -> versions.iterator().next());
        }

        private void ask(long attempt) {
            List<HostReport> keepers = keepersOf(attempt);
            answersLeft = keepers.size();
            if (keepers.isEmpty()) {
                noHostKnows();
                return;
            }
            keepers.forEach(peer -> context.client()
                    .send(peer.peers(), relay.request(attempt, now()))
                    .whenComplete((answer, failure) -> context.loop().complete(() -> answered(peer, answer, failure))));
        }

        private void answered(HostReport peer, HttpResponse answer, Throwable failure) {
            answersLeft--;
            Optional<SoftwareVersion> version = versionIn(peer, answer, failure);
            if (version.isPresent()) {
                found("told by " + peer.host(), version.get());
            } else if (answersLeft == 0) {
                noHostKnows();
            }
        }

        private Optional<SoftwareVersion> versionIn(HostReport peer, HttpResponse answer, Throwable failure) {
            if (failure != null || answer.status() != STATUS_OK) {
                Logger.warn(
                        "Asking host {} where a stream began failed: {}.",
                        peer.host(),
                        failure == null ? "status " + answer.status() : failure.getMessage());
                return Optional.empty();
            }
            try {
                return relay.decode(answer.body()).version();
            } catch (CodecException e) {
                unreadable.count(peer.host(), e);
                return Optional.empty();
            }
        }

        /** Ends with a version; if this host knows no server of it, one may have joined unnoticed. */
        private void found(String how, SoftwareVersion recorded) {
            SoftwareVersion version = context.state().registry().resolve(recorded);
            boolean isInService = context.state().registry().usable(service).stream()
                    .anyMatch(w -> w.softwareVersion().equals(version));
            if (ended || isInService) {
                end(how, Optional.of(version));
            } else {
                storeWord.confirm(isCurrent ->
                        end(how, Optional.of(context.state().registry().resolve(recorded))));
            }
        }

        /** Ends with the only version of the stream's time, if the store confirms that there was no other one. */
        private void concludeFromVersions() {
            if (ended) {
                return;
            }
            if (onlyVersion().isEmpty()) {
                readHistory();
                return;
            }
            storeWord.confirm(isCurrent -> {
                Optional<SoftwareVersion> only = onlyVersion();
                if (isCurrent && only.isPresent()) {
                    end("only version", only);
                } else if (isCurrent) {
                    readHistory();
                } else {
                    askEngines("unknown");
                }
            });
        }

        private void readHistory() {
            if (ended) {
                return;
            }
            if (versionsOfItsTime().isPresent()) {
                askEngines("several versions");
                return;
            }
            if (!context.state().registry().isSourceReachable()) {
                askEngines("unknown");
                return;
            }
            history.read(maxAgeMillis, () -> {
                Optional<SoftwareVersion> only = onlyVersion();
                if (only.isPresent()) {
                    end("only version by the store's history", only);
                } else {
                    askEngines("unknown");
                }
            });
        }

        /** Asks the engines that may run the stream, and then the hosts again, as long as a later answer may tell more. */
        private void askEngines(String outcome) {
            // Reports that this host asked for when it started are younger than the loss of the hosts that knew.
            boolean askedAtStart = now() < startedAgainAtMillis + maxAgeMillis;
            long untilMillis = startedAtMillis + (askedAtStart ? 0 : MAX_WAIT_MILLIS);
            boolean hasAsked = concluded.isPresent();
            concluded = Optional.of(outcome);
            if (attempt.isEmpty() || hasAsked && now() >= untilMillis) {
                end(outcome, Optional.empty());
            } else {
                survey.ask(service, this::findAgain);
            }
        }

        private void noHostKnows() {
            concluded.ifPresentOrElse(this::askEngines, this::concludeFromVersions);
        }

        private void findAgain() {
            Optional<SoftwareVersion> known = origins.find(attempt.get(), now());
            if (known.isPresent()) {
                found("running", known.get());
            } else {
                ask(attempt.get());
            }
        }

        private void end(String outcome, Optional<SoftwareVersion> version) {
            if (ended) {
                return;
            }
            ended = true;
            context.log()
                    .entry("origin")
                    .with("resumes", attemptId.orElse("none"))
                    .with("outcome", outcome)
                    .with("version", version.map(SoftwareVersion::value).orElse("unknown"))
                    .with("versions", versionsOfItsTime().map(Set::toString).orElse("unknown"))
                    .with("maxAgeMillis", maxAgeMillis)
                    .with("millis", now() - startedAtMillis)
                    .write();
            context.metrics().resumed(version.isPresent());
            onResult.accept(version);
        }
    }
}
