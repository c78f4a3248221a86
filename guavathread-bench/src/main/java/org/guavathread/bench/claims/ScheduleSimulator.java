package org.guavathread.bench.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.guavathread.core.claim.ClaimAbort;
import org.guavathread.core.claim.ClaimAbortReply;
import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.claim.ClaimReply;
import org.guavathread.core.claim.ClaimSettings;
import org.guavathread.core.claim.IssueTimes;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.IdempotencyKey;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.SocketAddressText;

/**
 * Runs one schedule of requests and faults on a virtual clock and checks the guarantees of claims.
 *
 * <pre>{@code
 * ScheduleResult result = ScheduleSimulator.withRandomFaults(ClaimDesign.CHOSEN, 7).run();
 * }</pre>
 */
public final class ScheduleSimulator {

    static final long ROUTE_TIMEOUT_MILLIS = 2_500;

    /** Short, so that claims, epochs and abstentions end within a schedule. */
    private static final long RETENTION_MILLIS = 20_000;

    private static final int MEMBER_COUNT = 7;
    private static final int HOST_COUNT = 12;
    private static final int DATA_CENTRES = 4;
    private static final long FAULTS_END_MILLIS = 25_000;
    private static final long SCHEDULE_MILLIS = 60_000;
    private static final long DEATH_AT_MILLIS = 1_000;
    private static final long CALLERS_DETECT_DEATH_MILLIS = 3_000;
    /** Time for writing the answer. */
    private static final long ANSWER_MARGIN_MILLIS = 10;

    private final ClaimDesign design;
    private final FaultPlan plan;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime();
    private final ClaimSettings settings;
    private final SimNetwork network;
    private final List<EpochMembers> published = new ArrayList<>();
    private final Map<HostId, SimHost> hosts = new LinkedHashMap<>();
    private final Map<HostId, Long> deadSinceMillis = new HashMap<>();
    private final List<SimCaller> callers = new ArrayList<>();
    private final Map<ClaimKey, List<SimCall>> runs = new HashMap<>();
    private final int keyCount;
    private final boolean callersRetry;
    private final boolean oneHostDies;
    private Consumer<String> trace;

    private ScheduleSimulator(
            ClaimDesign design, FaultPlan plan, SplittableRandom random, int keyCount, boolean oneHostDies) {
        this.design = design;
        this.plan = plan;
        this.random = random;
        this.keyCount = keyCount;
        this.callersRetry = plan.backendFaultShare() + plan.kills() + plan.lossShare() > 0 || plan.maxSkewMillis() > 0;
        this.oneHostDies = oneHostDies;
        this.settings = ClaimSettings.defaults(RETENTION_MILLIS).withVoterCount(design.voterCount());
        this.network = new SimNetwork(time, random, plan);
        List<Host> allHosts = new ArrayList<>();
        for (int i = 0; i < HOST_COUNT; i++) {
            allHosts.add(host(i));
        }
        published.add(new EpochMembers(new HostEpoch(1), allHosts.subList(0, MEMBER_COUNT)));
        for (Host host : allHosts) {
            long offset = plan.maxSkewMillis() == 0 ? 0 : random.nextInt(plan.maxSkewMillis() + 1);
            hosts.put(host.id(), new SimHost(this, host.id(), offset, random.split()));
        }
    }

    /**
     * Prepares a schedule with random faults.
     *
     * @param design the design to run
     * @param seed seed of the schedule
     * @return the schedule
     */
    public static ScheduleSimulator withRandomFaults(ClaimDesign design, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new ScheduleSimulator(design, FaultPlan.random(random), random, 8, false);
    }

    /**
     * Prepares a schedule without faults, in which callers send each request once.
     *
     * @param design the design to run
     * @param seed seed of the schedule
     * @param oneHostDies whether one of the 7 hosts dies and stays dead; requests are then sent from 3 s after its
     *     death
     * @return the schedule
     */
    public static ScheduleSimulator withoutFaults(ClaimDesign design, long seed, boolean oneHostDies) {
        return new ScheduleSimulator(design, FaultPlan.none(), new SplittableRandom(seed), 100, oneHostDies);
    }

    /**
     * Passes every message, action and fault to a consumer, to explain a schedule that violated a guarantee.
     *
     * @param lines receives one line per event
     * @return this schedule
     */
    public ScheduleSimulator tracedTo(Consumer<String> lines) {
        trace = lines;
        return this;
    }

    /** Joins the parts to a line only if the schedule is traced, because most are not. */
    void trace(HostId at, Object... parts) {
        if (trace != null) {
            StringBuilder line =
                    new StringBuilder().append(time.nowMillis()).append(' ').append(at);
            for (Object part : parts) {
                line.append(' ').append(part);
            }
            trace.accept(line.toString());
        }
    }

    /**
     * Runs the schedule.
     *
     * @return its counts and violations
     */
    public ScheduleResult run() {
        scheduleFaults();
        long start = oneHostDies ? DEATH_AT_MILLIS + CALLERS_DETECT_DEATH_MILLIS : 0;
        for (int i = 0; i < keyCount; i++) {
            long at = start + random.nextInt((int) (FAULTS_END_MILLIS - start));
            scheduleCaller(i, at);
        }
        time.runUntil(SCHEDULE_MILLIS);
        return result();
    }

    private void scheduleCaller(int number, long atMillis) {
        long issuedAt = IssueTimes.UNKNOWN;
        if (random.nextDouble() < plan.issueTimeShare()) {
            long clockLeadMillis = plan.maxSkewMillis() == 0 ? 0 : random.nextInt(3_000) - 1_500;
            issuedAt =
                    SimHost.BASE_MILLIS + atMillis + clockLeadMillis - random.nextInt(1 + (callersRetry ? 2_000 : 0));
        }
        ClaimKey key = new ClaimKey(new WorkspaceId("w1"), new RouteId("booking"), new IdempotencyKey("k" + number));
        SimCaller caller = new SimCaller(this, random.split(), key, issuedAt, callersRetry);
        callers.add(caller);
        time.at(atMillis, caller::start);
    }

    private void scheduleFaults() {
        List<SimHost> allHosts = List.copyOf(hosts.values());
        if (oneHostDies) {
            time.at(DEATH_AT_MILLIS, () -> kill(allHosts.get(0)));
        }
        for (int i = 0; i < plan.kills(); i++) {
            SimHost host = allHosts.get(random.nextInt(allHosts.size()));
            long at = faultTime();
            time.at(at, () -> kill(host));
            if (random.nextInt(5) > 0) {
                time.at(at + 50 + random.nextInt(6_000), () -> {
                    host.restart();
                    deadSinceMillis.remove(host.id());
                });
            }
        }
        for (int i = 0; i < plan.pauses(); i++) {
            SimHost host = allHosts.get(random.nextInt(allHosts.size()));
            long millis = 50 + random.nextInt(random.nextBoolean() ? 1_000 : 6_000);
            time.at(faultTime(), () -> host.pause(millis));
        }
        for (int i = 0; i < plan.partitions(); i++) {
            Set<HostId> group = new HashSet<>();
            allHosts.stream().filter(h -> random.nextBoolean()).forEach(h -> group.add(h.id()));
            long at = faultTime();
            time.at(at, () -> network.partition(group));
            time.at(at + 500 + random.nextInt(14_000), () -> network.partition(Set.of()));
        }
        long at = 0;
        for (int i = 1; i <= plan.epochChanges(); i++) {
            at += 200 + random.nextInt(8_000);
            publish(i, at, allHosts);
        }
    }

    private void publish(int index, long atMillis, List<SimHost> allHosts) {
        Set<HostId> members = new HashSet<>();
        published.get(index - 1).hosts().forEach(h -> members.add(h.id()));
        // Large changes replace a majority of the voters of some keys.
        int changes = 1 + random.nextInt(random.nextBoolean() ? 2 : HOST_COUNT);
        for (int i = 0; i < changes; i++) {
            HostId toggled = allHosts.get(random.nextInt(allHosts.size())).id();
            if (!members.add(toggled) && members.size() > 3) {
                members.remove(toggled);
            }
        }
        List<Host> next = new ArrayList<>();
        for (int i = 0; i < HOST_COUNT; i++) {
            if (members.contains(host(i).id())) {
                next.add(host(i));
            }
        }
        published.add(new EpochMembers(new HostEpoch(1 + index), next));
        trace(allHosts.get(0).id(), "publishes", published.get(index).epoch());
        for (SimHost host : allHosts) {
            long delay = random.nextInt(random.nextInt(5) == 0 ? 15_000 : 2_000);
            time.at(atMillis + delay, () -> host.adoptPublished(index));
        }
    }

    private long faultTime() {
        return random.nextInt((int) FAULTS_END_MILLIS);
    }

    private void kill(SimHost host) {
        host.kill();
        deadSinceMillis.putIfAbsent(host.id(), time.nowMillis());
    }

    private static Host host(int number) {
        SocketAddressText address = new SocketAddressText("127.0.0.1", 8_000 + number);
        DataCentreId dataCentre = new DataCentreId("dc" + number % DATA_CENTRES);
        return new Host(new HostId("h" + number), dataCentre, address, address, address, AdminState.ACTIVE);
    }

    ClaimDesign design() {
        return design;
    }

    ClaimSettings settings() {
        return settings;
    }

    VirtualTime time() {
        return time;
    }

    List<EpochMembers> published() {
        return published;
    }

    EpochMembers newestReachable(HostId from) {
        EpochMembers newest = published.get(0);
        for (SimHost host : hosts.values()) {
            boolean answers = host.isUp() && !host.isPaused() && network.connects(from, host.id());
            if (answers && host.epochs().current().epoch().isNewerThan(newest.epoch())) {
                newest = host.epochs().current();
            }
        }
        return newest;
    }

    Map<HostId, EpochMembers> witnessesReachableFrom(HostId from) {
        Map<HostId, EpochMembers> reachable = new HashMap<>();
        for (SimHost host : hosts.values()) {
            if (host.answersAsWitness() && network.connects(from, host.id())) {
                reachable.put(host.id(), host.epochs().current());
            }
        }
        return reachable;
    }

    void send(HostId from, HostId to, PeerMessage message) {
        trace(from, "to", to, message);
        network.send(from, to, () -> hosts.get(to).receive(from, message));
    }

    /**
     * Connects a caller to a random host, and to the next one if the connection is refused. In fault schedules callers
     * also try hosts that are not members, because their addresses may be outdated.
     */
    void connect(SimCall call) {
        List<SimHost> candidates = new ArrayList<>(hosts.values());
        candidates.removeIf(h -> deadSinceMillis.getOrDefault(h.id(), time.nowMillis()) + CALLERS_DETECT_DEATH_MILLIS
                <= time.nowMillis());
        if (!callersRetry) {
            Set<HostId> members = new HashSet<>();
            published.get(0).hosts().forEach(h -> members.add(h.id()));
            candidates.removeIf(h -> !members.contains(h.id()));
        }
        while (!candidates.isEmpty()) {
            SimHost host = candidates.remove(random.nextInt(candidates.size()));
            if (host.isUp()) {
                time.after(network.delayMillis(), () -> {
                    if (host.isUp()) {
                        host.receive(call);
                    }
                });
                return;
            }
        }
    }

    long chargeMillis() {
        boolean slow = random.nextDouble() < plan.slowShare();
        return slow ? random.nextInt(2_500) : callersRetry ? random.nextInt(10) : 0;
    }

    boolean withdraws() {
        return random.nextDouble() < plan.withdrawShare();
    }

    /** Runs a request on the backend server, even if the host that sent it dies. */
    void runOnBackend(SimCall call, Consumer<byte[]> onAnswer, Runnable onFailure) {
        boolean faulty = random.nextDouble() < plan.backendFaultShare();
        time.after(faulty ? random.nextInt(3_000) : 1, () -> {
            trace(call.host(), "runs", call.key());
            runs.computeIfAbsent(call.key(), k -> new ArrayList<>()).add(call);
            if (faulty && random.nextBoolean()) {
                time.after(ROUTE_TIMEOUT_MILLIS, onFailure);
                return;
            }
            byte[] answer = call.key().toString().getBytes();
            time.after(5 + random.nextInt(50), () -> onAnswer.accept(answer));
        });
    }

    ClaimReply applyDesign(ClaimReply reply) {
        if (design != ClaimDesign.NO_REPORTED_EPOCHS) {
            return reply;
        }
        return new ClaimReply(
                reply.key(),
                reply.attempt(),
                reply.requestEpoch(),
                reply.vote(),
                reply.holder(),
                reply.barrierMillis(),
                reply.voterIncarnation(),
                reply.epoch(),
                List.of(),
                reply.outcome());
    }

    ClaimAbort applyDesign(ClaimAbort abort) {
        if (design != ClaimDesign.NO_BARRIER || abort.barrierMillis() == ClaimAbort.RELEASE_ONLY) {
            return abort;
        }
        return new ClaimAbort(abort.key(), abort.attempt(), abort.epoch(), abort.keyIssuedAtMillis(), 1);
    }

    ClaimAbortReply applyDesign(ClaimAbortReply reply, long askedBarrierMillis) {
        return new ClaimAbortReply(
                reply.key(),
                reply.attempt(),
                reply.requestEpoch(),
                askedBarrierMillis,
                reply.vote(),
                reply.epoch(),
                design == ClaimDesign.NO_REPORTED_EPOCHS ? List.of() : reply.earlier(),
                reply.outcome());
    }

    private ScheduleResult result() {
        List<String> doubleRuns = new ArrayList<>();
        List<String> falseNotRun = new ArrayList<>();
        List<String> answerFaults = new ArrayList<>();
        List<Long> dispatchMillis = new ArrayList<>();
        int reached = 0;
        int notRun = 0;
        int answeredFirst = 0;
        for (SimCaller caller : callers) {
            answeredFirst += caller.calls().get(0).end() == SimCall.End.ANSWERED ? 1 : 0;
            for (SimCall call : caller.calls()) {
                reached += call.hasReached() ? 1 : 0;
                notRun += call.wasToldNotRun() ? 1 : 0;
                String fault = call.answerFault(ROUTE_TIMEOUT_MILLIS + settings.confirmMillis() + ANSWER_MARGIN_MILLIS);
                if (fault != null) {
                    answerFaults.add(fault);
                }
                if (call.dispatchMillis() >= 0) {
                    dispatchMillis.add(call.dispatchMillis());
                }
                if (call.wasToldNotRun() && ranDespiteNotRun(call)) {
                    falseNotRun.add(call.key() + " told at " + call.notRunToldAtMillis());
                }
            }
        }
        runs.forEach((key, calls) -> {
            if (calls.size() > 1) {
                doubleRuns.add(key + " ran " + calls.size() + " times");
            }
        });
        int ran = runs.values().stream().mapToInt(List::size).sum();
        return new ScheduleResult(
                reached,
                callers.size(),
                answeredFirst,
                ran,
                notRun,
                dispatchMillis,
                doubleRuns,
                falseNotRun,
                answerFaults);
    }

    /**
     * Tells whether any send of the same key ran, then or later, that had reached its host when this one was told
     * not_run.
     */
    private boolean ranDespiteNotRun(SimCall told) {
        return runs.getOrDefault(told.key(), List.of()).stream()
                .anyMatch(run -> run.reachedAtMillis() <= told.notRunToldAtMillis());
    }
}
