package org.guavathread.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.guavathread.core.gossip.HostReport.CrashEvidence;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Plays a class of requests of which some have a crashing part, on a virtual clock: hosts that exchange reports, engines
 * that crash and come back, and callers that are served or refused. Guards against crashes that go on from engine to
 * engine, and against sound requests that are refused for what they share with crashing ones.
 */
class CrashingPartLoadTest {

    /** The users' bounds: from this time after the fifth crash, at most three crashing requests reach engines. */
    private static final int CRASHES_BEFORE_BOUND = 5;

    private static final int MAX_LATE_CRASHING_RUNS = 3;

    private static final int END_MILLIS = 30_000;
    private static final int PREFILL_MILLIS = 200;
    private static final int RESTART_MILLIS = 3_200;
    private static final int REPORT_INTERVAL_MILLIS = 250;
    private static final int REPORT_DELAY_MILLIS = 5;
    private static final int FAN_OUT = 4;
    private static final CrashTrait SHARED = CrashTrait.ofPromptPart(1, 0);
    private static final CrashTrait CRASHING = CrashTrait.ofPromptPart(2, 1);

    private record Event(long atMillis, long order, Runnable action) {}

    private record Run(int host, List<CrashTrait> traits, boolean isCrashing, boolean isLast) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.atMillis() != b.atMillis()
            ? Long.compare(a.atMillis(), b.atMillis())
            : Long.compare(a.order(), b.order()));
    private final List<CrashSuspects> hosts = new ArrayList<>();
    private final List<List<Run>> engines = new ArrayList<>();
    private final List<Integer> lives = new ArrayList<>();
    private SplittableRandom random;
    private long now;
    private long order;
    private int crashes;
    private long boundFromMillis = Long.MAX_VALUE;
    private int lateCrashingRuns;
    private int lateSound;
    private int lateSoundRefused;
    private int contactMillis;

    private void at(long millis, Runnable action) {
        events.add(new Event(millis, order++, action));
    }

    private Worker worker(int engine) {
        return new Worker(
                new BackendServerId("i-" + engine + "-" + lives.get(engine)),
                new ServiceName("llm"),
                new SocketAddressText("127.0.0.1", 1_000 + engine),
                new DataCentreId("talca"),
                8,
                false,
                EngineStage.DECODE,
                new SoftwareVersion("v1"),
                1);
    }

    @ParameterizedTest
    @CsvSource({
        "8, 6, 7, 0.35, 3000",
        "8, 6, 7, 0.05, 3000",
        "1, 2, 4, 0.5, 3000",
        "95, 47, 44, 0.35, 5000",
        "95, 47, 44, 0.5, 5000",
        "83, 24, 24, 0.15, 4000",
        "8, 13, 12, 0.8, 3000"
    })
    void crashesEndAndSoundRequestsAreServed(
            int hostCount, int engineCount, int perSecond, double crashingShare, int contact) {
        for (int seed = 1; seed <= 10; seed++) {
            play(hostCount, engineCount, perSecond, crashingShare, contact, seed);
            String run = hostCount + " hosts, share " + crashingShare + ", seed " + seed + ": ";
            assertTrue(crashes >= CrashSuspects.REFUSE_AT, run + crashes + " crashes");
            assertTrue(
                    lateCrashingRuns <= MAX_LATE_CRASHING_RUNS,
                    run + lateCrashingRuns + " late runs, " + crashes + " in all");
            assertTrue(lateSoundRefused <= lateSound / 50, run + lateSoundRefused + " of " + lateSound + " refused");
        }
    }

    private void play(int hostCount, int engineCount, int perSecond, double share, int contact, int seed) {
        random = new SplittableRandom(seed);
        hosts.clear();
        engines.clear();
        lives.clear();
        events.clear();
        crashes = 0;
        lateCrashingRuns = 0;
        lateSound = 0;
        lateSoundRefused = 0;
        boundFromMillis = Long.MAX_VALUE;
        contactMillis = contact;
        for (int i = 0; i < hostCount; i++) {
            int host = i;
            hosts.add(new CrashSuspects());
            at(random.nextInt(REPORT_INTERVAL_MILLIS), () -> report(host));
        }
        for (int i = 0; i < engineCount; i++) {
            engines.add(new ArrayList<>());
            lives.add(0);
        }
        at(0, () -> arrive(perSecond, share));
        while (!events.isEmpty()) {
            Event next = events.poll();
            if (next.atMillis() > END_MILLIS) {
                return;
            }
            now = next.atMillis();
            next.action().run();
        }
    }

    private void report(int from) {
        List<CrashEvidence> evidence = hosts.get(from).report(now);
        for (int i = 0; i < FAN_OUT && hosts.size() > 1; i++) {
            int to = random.nextInt(hosts.size());
            at(now + REPORT_DELAY_MILLIS, () -> hosts.get(to).merge(evidence, now));
        }
        long intervalMillis = REPORT_INTERVAL_MILLIS * (40L + Math.max(40, hosts.size())) / 80;
        at(now + intervalMillis, () -> report(from));
    }

    private void arrive(int perSecond, double share) {
        at(now + 1 + random.nextInt(2_000 / perSecond), () -> arrive(perSecond, share));
        boolean isCrashing = random.nextDouble() < share;
        CrashTrait whole = CrashTrait.ofRequest(random.nextLong());
        List<CrashTrait> traits;
        if (isCrashing) {
            traits = List.of(SHARED, CRASHING, whole);
        } else {
            CrashTrait first = random.nextBoolean() ? SHARED : CrashTrait.ofPromptPart(100 + random.nextInt(2_000), 0);
            traits = List.of(first, whole);
        }
        int host = random.nextInt(hosts.size());
        boolean isRefused = isRefused(host, traits);
        if (!isCrashing && now > boundFromMillis + contactMillis) {
            lateSound++;
            lateSoundRefused += isRefused ? 1 : 0;
        }
        if (!isRefused) {
            start(new Run(host, traits, isCrashing, false));
        }
    }

    /** The first host is the one that tests blamed traits. */
    private boolean isRefused(int host, List<CrashTrait> traits) {
        CrashSuspects suspects = hosts.get(host);
        return suspects.blamedOf(traits).isPresent() && !(host == 0 && suspects.startTest(traits, now));
    }

    private void start(Run run) {
        int engine = random.nextInt(engines.size());
        if (engines.get(engine) == null) {
            return;
        }
        if (run.isCrashing() && now > boundFromMillis) {
            lateCrashingRuns++;
        }
        engines.get(engine).add(run);
        int life = lives.get(engine);
        at(now + PREFILL_MILLIS / 2 + random.nextInt(PREFILL_MILLIS), () -> begin(engine, life, run));
    }

    private void begin(int engine, int life, Run run) {
        if (engines.get(engine) == null || lives.get(engine) != life) {
            return;
        }
        if (!run.isCrashing()) {
            engines.get(engine).remove(run);
            hosts.get(run.host()).recordAnswer(run.traits(), now);
            return;
        }
        if (++crashes == CRASHES_BEFORE_BOUND) {
            boundFromMillis = now + contactMillis;
        }
        List<Run> lost = engines.set(engine, null);
        Worker worker = worker(engine);
        lost.forEach(each -> hosts.get(each.host()).recordCrash(each.traits(), worker, now));
        lost.forEach(each -> retry(each));
        at(now + RESTART_MILLIS, () -> {
            engines.set(engine, new ArrayList<>());
            lives.set(engine, life + 1);
        });
    }

    private void retry(Run run) {
        if (!run.isLast() && hosts.get(run.host()).blamedOf(run.traits()).isEmpty()) {
            start(new Run(run.host(), run.traits(), run.isCrashing(), true));
        }
    }
}
