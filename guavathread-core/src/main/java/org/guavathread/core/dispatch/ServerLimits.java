package org.guavathread.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.guavathread.core.gossip.HostReport.StatedLimit;
import org.guavathread.core.hash.RendezvousHash;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.Worker;

/**
 * Request rates that backend servers in need state in their answers, and those of cold servers, for all hosts together.
 * The loads that it answers are demand beyond a stated limit, and many hosts that send to the same cold servers at once.
 *
 * <p>Each server with a limit has one owner among the hosts, chosen by rendezvous hashing. The owner counts the requests
 * of all hosts in a sliding window and grants each one before it is sent, so that the bound does not depend on how fast
 * hosts hear of each other. A host that was refused does not ask again before the time that the owner gave it.
 *
 * <p>Hosts tell each other what they learned from answers; the latest statement of a server holds. Which servers are cold
 * each host knows by itself ({@link ColdServers}).
 */
public final class ServerLimits {

    /** Window in which the platform's rule counts the requests to a server. */
    private static final long WINDOW_MILLIS = 4_000;

    /** Multiple of the stated rate that the platform's rule tolerates in a window. */
    private static final double TOLERATED_FACTOR = 1.5;

    /** Requests beyond that multiple which the rule tolerates in a window. */
    private static final int TOLERATED_EXTRA = 5;

    /** Time from the grant of a request until it reaches the server, at most: transit, and a prefill elsewhere. */
    private static final long MAX_TRANSIT_MILLIS = 500;

    /** Time in which grants are counted, so that requests which arrive in one window are. */
    private static final long GRANT_WINDOW_MILLIS = WINDOW_MILLIS + MAX_TRANSIT_MILLIS;

    /** The same for cold servers, whose requests are counted in one second. */
    private static final long COLD_GRANT_WINDOW_MILLIS = 1_000 + MAX_TRANSIT_MILLIS;

    /** Greatest window of a small part of a limit; a server is not cold for longer. */
    private static final long MAX_WINDOW_MILLIS = 600_000;

    /** Time for which a server is left alone when its owner does not answer. */
    private static final long OWNER_SILENT_MILLIS = 300;

    /** Tolerated requests that are not granted, for one that the owner did not hear of. */
    private static final int RESERVE = 1;

    /** Limits above this are none: all hosts together pass on fewer requests a second. */
    private static final double MAX_LIMIT_PER_SECOND = 8_000;

    /** Time for which a statement outlives the server's entry, which may be missing for a while. */
    private static final long RETENTION_MILLIS = 600_000;

    /** Maximum difference between the clocks of a host and a server, in milliseconds. */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 2_000;

    /** Time for which a statement is reported to other hosts: the spreading of news in a large fleet. */
    private static final long REPORT_MILLIS = 10_000;

    /** Maximum number of statements in one report: at about 30 bytes each, an eighth of a datagram. */
    private static final int MAX_REPORTED = 6;

    private static final double MILLIS_PER_SECOND = 1_000;

    private record Statement(OptionalDouble perSecond, long atMillis) {}

    /** What may be granted within a time. */
    private record Allowance(int size, long spanMillis, boolean isFullAtFirst) {

        private static Allowance stated(double perSecond, double share) {
            return new Allowance(windowSize(perSecond, share), GRANT_WINDOW_MILLIS, true);
        }

        /** Returns what a host may send by itself to a server that may be cold. */
        private static Allowance own() {
            return new Allowance(1, COLD_GRANT_WINDOW_MILLIS, false);
        }

        private static Allowance cold(double perSecond, boolean isColdForSure, double share) {
            double requests = Math.min(MAX_LIMIT_PER_SECOND, perSecond) * share;
            if (requests >= 1) {
                return new Allowance((int) requests, COLD_GRANT_WINDOW_MILLIS, isColdForSure);
            }
            // Hosts that are each cut off from the others have a small share, and together must not send one each.
            return isColdForSure
                    ? new Allowance(1, (long) Math.min(MAX_WINDOW_MILLIS, COLD_GRANT_WINDOW_MILLIS / requests), true)
                    : own();
        }
    }

    private enum Kind {
        STATED,
        COLD,
        OWN
    }

    private record WindowKey(BackendServerId server, Kind kind) {}

    /** The requests to one server that its owner has granted. */
    private static final class Window {
        private final Deque<Long> grantsMillis = new ArrayDeque<>();
        private long lastPromisedMillis;

        /** Starts as if the window were in full use, since an earlier owner may have granted as much. */
        private Window(Allowance allowance, long nowMillis) {
            for (int i = 0; allowance.isFullAtFirst() && i < allowance.size(); i++) {
                grantsMillis.add(
                        nowMillis - allowance.spanMillis() + (i + 1) * allowance.spanMillis() / allowance.size());
            }
        }

        private boolean hasRoom(Allowance allowance, long nowMillis) {
            while (!grantsMillis.isEmpty() && grantsMillis.peek() <= nowMillis - allowance.spanMillis()) {
                grantsMillis.remove();
            }
            return grantsMillis.size() < allowance.size();
        }

        private void grant(long nowMillis) {
            grantsMillis.add(nowMillis);
        }

        /** Returns when to ask again: each refused host later than the one before, so that not all ask at once. */
        private long promise(Allowance allowance, long nowMillis) {
            long freeMillis = grantsMillis.peek() + allowance.spanMillis();
            lastPromisedMillis = Math.max(freeMillis, lastPromisedMillis + allowance.spanMillis() / allowance.size());
            return lastPromisedMillis - nowMillis;
        }
    }

    private final HostId self;
    private final ColdServers cold;
    private final Map<BackendServerId, Statement> own = new HashMap<>();
    private final Map<BackendServerId, Statement> latest = new HashMap<>();
    private final Map<WindowKey, Window> windows = new HashMap<>();
    private final Map<BackendServerId, Long> fullUntilMillis = new HashMap<>();
    private List<HostId> hosts;
    private double reachableShare = 1;

    /**
     * Creates the limits.
     *
     * @param self this host
     * @param cold which servers are cold
     */
    public ServerLimits(HostId self, ColdServers cold) {
        this.self = self;
        this.cold = cold;
        this.hosts = List.of(self);
    }

    /**
     * Sets the hosts among which the owners are chosen.
     *
     * @param ready the ready reachable hosts, including this one if it is ready
     * @param share reachable hosts, including this one, divided by all known hosts; the others may use the rest
     */
    public void setHosts(Collection<HostId> ready, double share) {
        reachableShare = share;
        List<HostId> next = new ArrayList<>(ready);
        next.sort(Comparator.comparing(HostId::value));
        if (!next.equals(hosts) && !next.isEmpty()) {
            hosts = List.copyOf(next);
            windows.keySet().removeIf(key -> !ownerOf(key.server()).equals(self));
        }
    }

    /**
     * Records what a server states in an answer; an answer without a limit ends the limit.
     *
     * @param server the server
     * @param perSecond the stated limit in requests a second
     * @param nowMillis the current time
     * @return true if the limit has changed for this host
     */
    public boolean state(BackendServerId server, OptionalDouble perSecond, long nowMillis) {
        OptionalDouble binding = bindingLimit(perSecond.orElse(Double.POSITIVE_INFINITY));
        if (binding.isEmpty() && limitOf(server).isEmpty()) {
            return false;
        }
        Statement statement = new Statement(binding, nowMillis);
        own.put(server, statement);
        return apply(server, statement);
    }

    /**
     * Merges what another host reported.
     *
     * @param reported statements of servers
     * @param nowMillis the current time
     */
    public void merge(List<StatedLimit> reported, long nowMillis) {
        for (StatedLimit each : reported) {
            apply(each.server(), new Statement(bindingLimit(each.perSecond()), nowMillis - each.ageMillis()));
        }
    }

    private static OptionalDouble bindingLimit(double perSecond) {
        return perSecond <= MAX_LIMIT_PER_SECOND ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
    }

    private boolean apply(BackendServerId server, Statement statement) {
        Statement before = latest.get(server);
        if (before != null && before.atMillis() > statement.atMillis()) {
            return false;
        }
        latest.put(server, statement);
        if (statement.perSecond().isEmpty()) {
            fullUntilMillis.remove(server);
        }
        return before == null || !statement.perSecond().equals(before.perSecond());
    }

    /**
     * Returns this host's latest statements, for its report to other hosts.
     *
     * @param nowMillis the current time
     * @return statements, the latest first; infinite where a limit has ended
     */
    public List<StatedLimit> report(long nowMillis) {
        return own.entrySet().stream()
                .filter(e -> nowMillis - e.getValue().atMillis() < REPORT_MILLIS)
                .sorted(Comparator.comparingLong(e -> -e.getValue().atMillis()))
                .limit(MAX_REPORTED)
                .map(e -> new StatedLimit(e.getKey(), e.getValue().perSecond().orElse(Double.POSITIVE_INFINITY), (int)
                        (nowMillis - e.getValue().atMillis())))
                .toList();
    }

    /**
     * Returns the limit of a server.
     *
     * @param server the server
     * @return requests a second from all hosts, or empty if it states none
     */
    public OptionalDouble limitOf(BackendServerId server) {
        Statement statement = latest.get(server);
        return statement == null ? OptionalDouble.empty() : statement.perSecond();
    }

    /**
     * Returns what binds a request to a server.
     *
     * @param server the server
     * @param purpose what the request is for
     * @param nowMillis the current time
     * @return the terms under which its owner grants it, or empty if it needs no grant
     */
    public Optional<PermitTerms> termsOf(Worker server, SendPurpose purpose, long nowMillis) {
        PermitTerms terms = new PermitTerms(
                purpose.countsAgainstStatedLimit() ? limitOf(server.id()) : OptionalDouble.empty(),
                cold.grantedPerSecond(server, nowMillis),
                cold.isCold(server, nowMillis));
        return Optional.of(terms).filter(PermitTerms::isBinding);
    }

    /**
     * Returns the host that grants the requests to a server, if they need a grant.
     *
     * @param server the server
     * @return the owner of its limits
     */
    public HostId ownerOf(BackendServerId server) {
        return RendezvousHash.rank("limit:" + server.value(), hosts, HostId::value)
                .get(0);
    }

    /**
     * Grants one request of any host to a server, at its owner.
     *
     * @param server the server
     * @param terms its limits as the asking host knows them
     * @param nowMillis the current time
     * @return 0 if the request may be sent now, otherwise the milliseconds after which to ask again
     */
    public long grant(BackendServerId server, PermitTerms terms, long nowMillis) {
        Map<Window, Allowance> binding = new HashMap<>();
        terms.statedPerSecond()
                .ifPresent(
                        rate -> bind(binding, server, Kind.STATED, Allowance.stated(rate, reachableShare), nowMillis));
        terms.coldPerSecond()
                .ifPresent(rate -> bind(
                        binding,
                        server,
                        Kind.COLD,
                        Allowance.cold(rate, terms.isColdForSure(), reachableShare),
                        nowMillis));
        long waitMillis = binding.entrySet().stream()
                .filter(e -> !e.getKey().hasRoom(e.getValue(), nowMillis))
                .mapToLong(e -> e.getKey().promise(e.getValue(), nowMillis))
                .max()
                .orElse(0);
        if (waitMillis == 0) {
            binding.keySet().forEach(window -> window.grant(nowMillis));
        }
        return waitMillis;
    }

    /**
     * Decides about a request whose owner does not answer. Servers that are only possibly cold get few requests then, since
     * an outage of the store together with a lost owner would otherwise leave them unused.
     *
     * @param server the server
     * @param terms its limits
     * @param nowMillis the current time
     * @return 0 if the request may be sent now, otherwise the milliseconds after which to ask again
     */
    public long grantWithoutOwner(BackendServerId server, PermitTerms terms, long nowMillis) {
        if (!terms.isDoubtOnly()) {
            return OWNER_SILENT_MILLIS;
        }
        Allowance allowance = Allowance.own();
        Window window =
                windows.computeIfAbsent(new WindowKey(server, Kind.OWN), key -> new Window(allowance, nowMillis));
        if (!window.hasRoom(allowance, nowMillis)) {
            return OWNER_SILENT_MILLIS;
        }
        window.grant(nowMillis);
        return 0;
    }

    private void bind(
            Map<Window, Allowance> binding, BackendServerId server, Kind kind, Allowance allowance, long nowMillis) {
        Window window = windows.computeIfAbsent(new WindowKey(server, kind), key -> new Window(allowance, nowMillis));
        binding.put(window, allowance);
    }

    /** Returns how many requests may be granted within {@link #GRANT_WINDOW_MILLIS}. */
    static int windowSize(double perSecond, double share) {
        double bound = Math.min(MAX_LIMIT_PER_SECOND, perSecond);
        // A server that takes next to nothing gets next to none of the extra either.
        double extra = TOLERATED_EXTRA * Math.min(1, bound);
        double tolerated = TOLERATED_FACTOR * bound * WINDOW_MILLIS / MILLIS_PER_SECOND + extra;
        return Math.max(1, (int) ((tolerated - RESERVE) * share));
    }

    /**
     * Records that the owner of a limit has refused a request.
     *
     * @param server the server
     * @param untilMillis when to ask again
     */
    public void refused(BackendServerId server, long untilMillis) {
        fullUntilMillis.put(server, untilMillis);
    }

    /**
     * Filters out servers whose limit is used up by what this host knows.
     *
     * @param servers the candidates
     * @param nowMillis the current time
     * @return servers without a limit, and those for which a request may be granted
     */
    public List<Worker> withRoom(Collection<Worker> servers, long nowMillis) {
        return servers.stream()
                .filter(w -> nowMillis >= fullUntilMillis.getOrDefault(w.id(), Long.MIN_VALUE))
                .toList();
    }

    /**
     * Filters out servers that state a limit, and cold ones.
     *
     * @param servers the candidates
     * @param nowMillis the current time
     * @return servers without a limit
     */
    public List<Worker> withoutLimit(Collection<Worker> servers, long nowMillis) {
        return cold.notCold(servers, nowMillis).stream()
                .filter(w -> limitOf(w.id()).isEmpty())
                .toList();
    }

    /**
     * Returns the time until a request to one of the servers may be granted.
     *
     * @param servers the servers
     * @param nowMillis the current time
     * @return milliseconds, 0 if one may be granted now
     */
    public long roomInMillis(Collection<Worker> servers, long nowMillis) {
        return servers.stream()
                .mapToLong(w -> Math.max(0, fullUntilMillis.getOrDefault(w.id(), nowMillis) - nowMillis))
                .min()
                .orElse(0);
    }

    /**
     * Returns the number of servers with a limit.
     *
     * @return servers
     */
    public int size() {
        return (int)
                latest.values().stream().filter(s -> s.perSecond().isPresent()).count();
    }

    /**
     * Removes what no longer concerns a server: statements of earlier processes under its id, and those of servers whose
     * entries have been missing for long.
     *
     * @param registered entries of the servers that exist
     * @param nowMillis the current time
     */
    public void retain(Collection<Worker> registered, long nowMillis) {
        Map<BackendServerId, Long> startsMillis = new HashMap<>();
        registered.forEach(w -> startsMillis.put(w.id(), w.startedAtMillis()));
        own.entrySet().removeIf(e -> isOver(e.getValue(), startsMillis.get(e.getKey()), nowMillis));
        latest.entrySet().removeIf(e -> isOver(e.getValue(), startsMillis.get(e.getKey()), nowMillis));
        windows.keySet().removeIf(key -> !startsMillis.containsKey(key.server()) && !latest.containsKey(key.server()));
        Set<BackendServerId> coldServers = new HashSet<>();
        registered.stream().filter(w -> cold.isCold(w, nowMillis)).forEach(w -> coldServers.add(w.id()));
        fullUntilMillis.keySet().removeIf(id -> !latest.containsKey(id) && !coldServers.contains(id));
    }

    private static boolean isOver(Statement statement, Long startMillis, long nowMillis) {
        return startMillis == null
                ? nowMillis - statement.atMillis() >= RETENTION_MILLIS
                : startMillis > statement.atMillis() + MAX_CLOCK_DIFFERENCE_MILLIS;
    }
}
