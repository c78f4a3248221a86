package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.gossip.HostReport.CrashEvidence;
import org.guavathread.core.gossip.HostReport.CrashSighting;
import org.guavathread.core.registry.Worker;

/**
 * Finds the traits of requests that crash backend servers, over all hosts, and refuses requests that have one.
 *
 * <p>A crash is evidence against each trait of the requests that had not been answered when the server ended. An answer
 * acquits its traits of all crashes that are known at that time. Since a crash also hits requests that merely ran
 * beside the culprit, the trait with the most crashes is blamed, and its crashes no longer count against other traits.
 * Of several traits with the same crashes, the one that the fewest requests share is blamed.
 *
 * <p>Evidence only ever grows: crashes are added and acquitted, but not withdrawn. So reports may be lost, repeated and
 * forwarded in any order.
 *
 * <p>A blamed trait is tested with single requests, after increasing intervals, because no other request can acquit it.
 */
public final class CrashSuspects {

    /** Crashes at which a trait is blamed; fewer may be coincidental server failures. */
    public static final int REFUSE_AT = 3;

    /** Minimum time between the first and the last crash; a power failure ends many servers at the same moment. */
    public static final long MIN_SPAN_MILLIS = 300;

    /** Time from the last crash to the first test of a blamed trait; doubles with each further crash. */
    public static final long TEST_DELAY_MILLIS = 15_000;

    /** Time after which a crash no longer counts. */
    private static final long RETENTION_MILLIS = 600_000;

    /** Time for which a trait that is not blamed is reported after new evidence: several report intervals. */
    private static final long REPORT_MILLIS = 5_000;

    /** Bounds memory to about a megabyte. */
    private static final int MAX_TRAITS = 2_048;

    /** Maximum number of crashes that are kept for one trait. */
    private static final int MAX_CRASHES = 64;

    /** Maximum number of crashes in one report: at about 25 bytes each, a third of a datagram. */
    private static final int MAX_REPORTED_CRASHES = 20;

    /** Maximum number of crashes of one trait in a report. */
    private static final int MAX_REPORTED_CRASHES_OF_TRAIT = 12;

    private record Crash(int process, long atMillis, boolean isAcquitted) {}

    private static final class Evidence {
        private final CrashTrait trait;
        private final LinkedHashMap<Integer, Crash> crashes = new LinkedHashMap<>();
        private long changedAtMillis;
        private long testedAtMillis = Long.MIN_VALUE / 2;

        private Evidence(CrashTrait trait) {
            this.trait = trait;
        }

        private boolean add(Crash crash, long nowMillis) {
            Crash before = crashes.get(crash.process());
            Crash merged = before == null
                    ? crash
                    : new Crash(
                            crash.process(),
                            Math.min(before.atMillis(), crash.atMillis()),
                            before.isAcquitted() || crash.isAcquitted());
            crashes.put(crash.process(), merged);
            if (crashes.size() > MAX_CRASHES) {
                // The first crash is kept, since blame depends on the time from the first to the last one.
                crashes.remove(crashes.keySet().stream().skip(1).findFirst().orElseThrow());
            }
            boolean isNews = before == null || before.isAcquitted() != merged.isAcquitted();
            changedAtMillis = isNews ? nowMillis : changedAtMillis;
            return isNews;
        }

        private boolean acquit(long nowMillis) {
            boolean isNews = crashes.values().stream().anyMatch(c -> !c.isAcquitted());
            crashes.replaceAll((process, c) -> new Crash(process, c.atMillis(), true));
            changedAtMillis = isNews ? nowMillis : changedAtMillis;
            return isNews;
        }

        private List<Crash> open(Set<Integer> explained) {
            return crashes.values().stream()
                    .filter(c -> !c.isAcquitted() && !explained.contains(c.process()))
                    .toList();
        }

        private int openCount() {
            return open(Set.of()).size();
        }

        private long lastOpenMillis() {
            return open(Set.of()).stream().mapToLong(Crash::atMillis).max().orElse(Long.MIN_VALUE / 2);
        }

        private long nextTestMillis() {
            int doublings = Math.max(0, openCount() - REFUSE_AT);
            return Math.max(lastOpenMillis(), testedAtMillis) + (TEST_DELAY_MILLIS << doublings);
        }
    }

    private final LinkedHashMap<Long, Evidence> evidence = new LinkedHashMap<>();
    private Map<Long, Evidence> blamed = Map.of();
    private Runnable onNews = () -> {};

    /**
     * Sets what is done when this host has detected a crash or blames other traits than before.
     *
     * @param action for example a report to other hosts
     */
    public void onNews(Runnable action) {
        onNews = action;
    }

    /**
     * Records that a server ended while it ran a request that it had not begun to answer.
     *
     * @param traits traits of the request
     * @param server the server; several requests that it ran at its end count as one crash
     * @param nowMillis the current time
     */
    public void recordCrash(List<CrashTrait> traits, Worker server, long nowMillis) {
        int process = server.id().value().hashCode() * 31 + Long.hashCode(server.startedAtMillis());
        boolean isNews = false;
        for (CrashTrait trait : traits) {
            isNews |= evidenceOf(trait).add(new Crash(process, nowMillis, false), nowMillis);
        }
        if (isNews) {
            assignBlame(nowMillis);
            onNews.run();
        }
    }

    /**
     * Records that a server has answered a request, or a part of it, which acquits the request's traits.
     *
     * @param traits traits of the request
     * @param nowMillis the current time
     */
    public void recordAnswer(List<CrashTrait> traits, long nowMillis) {
        boolean isNews = false;
        for (CrashTrait trait : traits) {
            Evidence known = evidence.get(trait.hash());
            isNews |= known != null && known.acquit(nowMillis);
        }
        if (isNews && assignBlame(nowMillis)) {
            onNews.run();
        }
    }

    /**
     * Merges the evidence that another host reported.
     *
     * @param reported its evidence
     * @param nowMillis the current time
     */
    public void merge(List<CrashEvidence> reported, long nowMillis) {
        boolean isNews = false;
        for (CrashEvidence each : reported) {
            for (CrashSighting sighting : each.crashes()) {
                long atMillis = nowMillis - sighting.ageMillis();
                if (sighting.ageMillis() < RETENTION_MILLIS) {
                    Crash crash = new Crash(sighting.process(), atMillis, sighting.isAcquitted());
                    isNews |= evidenceOf(each.trait()).add(crash, nowMillis);
                }
            }
        }
        if (isNews && assignBlame(nowMillis)) {
            onNews.run();
        }
    }

    private Evidence evidenceOf(CrashTrait trait) {
        Evidence known = evidence.remove(trait.hash());
        Evidence latest = known == null ? new Evidence(trait) : known;
        evidence.put(trait.hash(), latest);
        if (evidence.size() > MAX_TRAITS) {
            // Blamed traits are kept, since forgetting one would cost servers.
            evidence.keySet().stream()
                    .filter(hash -> !blamed.containsKey(hash))
                    .findFirst()
                    .ifPresent(evidence::remove);
        }
        return latest;
    }

    private boolean assignBlame(long nowMillis) {
        evidence.values().removeIf(e -> {
            e.crashes.values().removeIf(c -> nowMillis - c.atMillis() >= RETENTION_MILLIS);
            return e.crashes.isEmpty();
        });
        List<Evidence> candidates = new ArrayList<>();
        for (Evidence each : evidence.values()) {
            if (each.crashes.size() >= REFUSE_AT && suffices(each.open(Set.of()))) {
                candidates.add(each);
            }
        }
        candidates.sort(Comparator.comparingInt(Evidence::openCount)
                .thenComparingInt(e -> e.trait.specificity())
                .reversed());
        Set<Integer> explained = new HashSet<>();
        Map<Long, Evidence> next = new HashMap<>();
        for (Evidence each : candidates) {
            if (suffices(each.open(explained))) {
                each.open(Set.of()).forEach(c -> explained.add(c.process()));
                next.put(each.trait.hash(), each);
            }
        }
        boolean isChanged = !next.keySet().equals(blamed.keySet());
        blamed = next;
        return isChanged;
    }

    private static boolean suffices(List<Crash> crashes) {
        if (crashes.size() < REFUSE_AT) {
            return false;
        }
        long first = crashes.stream().mapToLong(Crash::atMillis).min().orElseThrow();
        long last = crashes.stream().mapToLong(Crash::atMillis).max().orElseThrow();
        return last - first >= MIN_SPAN_MILLIS;
    }

    /**
     * Returns the trait for which a request must be refused.
     *
     * @param traits traits of the request
     * @return the blamed trait, or empty if the request may run
     */
    public Optional<CrashTrait> blamedOf(List<CrashTrait> traits) {
        return traits.stream().filter(t -> blamed.containsKey(t.hash())).findFirst();
    }

    /**
     * Returns the number of blamed traits.
     *
     * @return traits for which requests are refused
     */
    public int blamedCount() {
        return blamed.size();
    }

    /**
     * Returns when requests with blamed traits are tested next.
     *
     * @param traits traits of a request
     * @return the time from which one such request may run
     */
    public long nextTestMillis(List<CrashTrait> traits) {
        return traits.stream()
                .filter(t -> blamed.containsKey(t.hash()))
                .mapToLong(t -> blamed.get(t.hash()).nextTestMillis())
                .max()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Starts the test of a request with blamed traits if it is due. One host only may do so for a trait.
     *
     * @param traits traits of the request
     * @param nowMillis the current time
     * @return true if the request may run once, as the test
     */
    public boolean startTest(List<CrashTrait> traits, long nowMillis) {
        if (nowMillis < nextTestMillis(traits)) {
            return false;
        }
        for (CrashTrait trait : traits) {
            Evidence each = blamed.get(trait.hash());
            if (each != null) {
                each.testedAtMillis = nowMillis;
            }
        }
        return true;
    }

    /**
     * Returns the evidence for this host's report to other hosts, including what it learned from them.
     *
     * @param nowMillis the current time
     * @return blamed traits, then those with the most crashes among the recently changed ones
     */
    public List<CrashEvidence> report(long nowMillis) {
        List<Evidence> recent = new ArrayList<>();
        for (Evidence each : evidence.values()) {
            if (blamed.containsKey(each.trait.hash()) || nowMillis - each.changedAtMillis < REPORT_MILLIS) {
                recent.add(each);
            }
        }
        recent.sort(Comparator.<Evidence>comparingInt(e -> blamed.containsKey(e.trait.hash()) ? 1 : 0)
                .thenComparingInt(e -> e.crashes.size())
                .thenComparingLong(e -> e.changedAtMillis)
                .reversed());
        List<CrashEvidence> reported = new ArrayList<>();
        int crashes = 0;
        for (Evidence each : recent) {
            List<CrashSighting> sightings = sightings(each, nowMillis);
            crashes += sightings.size();
            if (crashes > MAX_REPORTED_CRASHES) {
                break;
            }
            reported.add(new CrashEvidence(each.trait, sightings));
        }
        return reported;
    }

    private static List<CrashSighting> sightings(Evidence evidence, long nowMillis) {
        return evidence.crashes.values().stream()
                .skip(Math.max(0, evidence.crashes.size() - MAX_REPORTED_CRASHES_OF_TRAIT))
                .map(c -> new CrashSighting(c.process(), (int) (nowMillis - c.atMillis()), c.isAcquitted()))
                .toList();
    }
}
