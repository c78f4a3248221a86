package org.guavathread.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.guavathread.core.id.HostId;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.request.Refusal;
import org.guavathread.core.request.RefusalCode;
import org.guavathread.core.request.RunState;
import org.junit.jupiter.api.Test;

import static org.guavathread.core.claim.ClaimFixtures.NOW;
import static org.guavathread.core.claim.ClaimFixtures.SELF;
import static org.guavathread.core.claim.ClaimFixtures.SETTINGS;
import static org.guavathread.core.claim.ClaimFixtures.key;
import static org.guavathread.core.claim.ClaimFixtures.members;
import static org.guavathread.core.claim.ClaimFixtures.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimCoordinatorTest {

    private static final ClaimKey KEY = key("w1", "k1");
    private static final EpochView VIEW = settled(members(1, 0, 5));
    private static final ClaimCall CALL = new ClaimCall(KEY, NOW, IssueTimes.UNKNOWN, NOW + 5_000);

    private final AttemptLog log = new AttemptLog(SETTINGS);
    private final Map<HostId, ClaimVoter> voters = new HashMap<>();
    private final ClaimCoordinator coordinator = coordinator(7);

    private ClaimCoordinator coordinator(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new ClaimCoordinator(CALL, new AttemptIds(SELF, new Incarnation(1), random), log, SETTINGS, random);
    }

    private ClaimVoter voter(HostId host) {
        return voters.computeIfAbsent(host, h -> new ClaimVoter(h, new Incarnation(0), 0, SETTINGS));
    }

    /** Delivers the messages among the actions to the voters, and returns the actions that follow from their replies. */
    private List<ClaimAction> deliver(ClaimCoordinator to, List<ClaimAction> actions, EpochView view, long now) {
        return actions.stream()
                .flatMap(a -> a instanceof ClaimAction.Send send ? answer(to, send, view, now) : Stream.empty())
                .toList();
    }

    private Stream<ClaimAction> answer(ClaimCoordinator to, ClaimAction.Send send, EpochView view, long now) {
        if (send.message() instanceof ClaimRequest request) {
            ClaimReply reply = voter(send.to()).onRequest(request, view, now);
            return to.reply(send.to(), reply, VIEW, now).stream();
        }
        if (send.message() instanceof ClaimAbort abort) {
            Optional<ClaimAbortReply> reply = voter(send.to()).onAbort(abort, view, now);
            return reply.stream().flatMap(r -> to.reply(send.to(), r, VIEW, now).stream());
        }
        return Stream.empty();
    }

    private static <T extends ClaimAction> Optional<T> first(List<ClaimAction> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).findFirst();
    }

    /** A coordinator that was paused past its dispatch deadline must no longer send the request. */
    @Test
    void mayDispatchOnlyWithMajorityAndBeforeTheDeadline() {
        List<ClaimAction> asked = coordinator.start(VIEW, NOW);
        assertFalse(coordinator.mayDispatch(VIEW, NOW));
        assertTrue(first(deliver(coordinator, asked, VIEW, NOW), ClaimAction.Dispatch.class)
                .isPresent());
        assertTrue(coordinator.mayDispatch(VIEW, NOW + 2_000));
        assertFalse(coordinator.mayDispatch(VIEW, NOW + 2_001));
        assertFalse(coordinator.mayDispatch(settled(members(2, 0, 5)), NOW));
    }

    /** A not_run that is written after its deadline may be false: a request that arrived in between may run. */
    @Test
    void withdrawnRequestIsNotRunOnlyUntilItsDeadline() {
        deliver(coordinator, coordinator.start(VIEW, NOW), VIEW, NOW);
        Refusal limited = Refusal.notRun(RefusalCode.RATE_LIMITED, "The workspace has no budget left.");
        List<ClaimAction> answers = deliver(coordinator, coordinator.withdraw(limited, NOW), VIEW, NOW);
        ClaimAction.Refuse refuse = first(answers, ClaimAction.Refuse.class).orElseThrow();
        assertEquals(RunState.NOT_RUN, refuse.refusalAt(NOW + 600).run());
        assertEquals(RunState.UNKNOWN, refuse.refusalAt(NOW + 601).run());
        assertEquals(RefusalCode.RATE_LIMITED, refuse.refusal().code());
    }

    /** Voters forget claims, so a coordinator that was paused for long must not ask them whether the request ran. */
    @Test
    void abortAfterALongPauseIsUnknown() {
        coordinator.start(VIEW, NOW);
        List<ClaimAction> resumed = coordinator.timer(VIEW, NOW + 60_000);
        assertEquals(
                RunState.UNKNOWN,
                first(resumed, ClaimAction.Refuse.class).orElseThrow().refusal().run());
    }

    /** Two resends at once must end with one dispatch and not with two refusals. */
    @Test
    void splitVoteIsResolvedByALaterRound() {
        ClaimCoordinator other = coordinator(8);
        List<ClaimAction> mine = coordinator.start(VIEW, NOW);
        List<ClaimAction> theirs = other.start(VIEW, NOW);
        List<ClaimAction> next = new ArrayList<>(deliver(coordinator, mine.subList(0, 2), VIEW, NOW));
        List<ClaimAction> nextOfOther = new ArrayList<>(deliver(other, theirs.subList(2, 4), VIEW, NOW));
        int dispatches = 0;
        for (long now = NOW; now < NOW + 1_900; now++) {
            next = new ArrayList<>(deliver(coordinator, now == NOW ? mine.subList(2, 4) : next, VIEW, now));
            nextOfOther = new ArrayList<>(deliver(other, now == NOW ? theirs.subList(0, 2) : nextOfOther, VIEW, now));
            next.addAll(coordinator.timer(VIEW, now));
            nextOfOther.addAll(other.timer(VIEW, now));
            dispatches += first(next, ClaimAction.Dispatch.class).isPresent() ? 1 : 0;
            dispatches += first(nextOfOther, ClaimAction.Dispatch.class).isPresent() ? 1 : 0;
        }
        assertEquals(1, dispatches);
    }

    /** A coordinator that restarted does not know the epoch in which the request may have run. */
    @Test
    void asksVotersOfEpochsThatOnlyVotersKnow() {
        EpochMembers old = members(1, 5, 5);
        EpochMembers now = members(2, 0, 5);
        EpochView.Superseded superseded = new EpochView.Superseded(old, NOW, EpochView.NOT_SETTLED);
        EpochView ofCoordinator = new EpochView(now, NOW + 9_000, NOW, NOW, List.of());
        EpochView ofVoters = new EpochView(now, NOW + 9_000, 0, 0, List.of(superseded));
        List<ClaimAction> asked = coordinator.start(ofCoordinator, NOW);
        List<ClaimAction> all = asked.stream()
                .filter(ClaimAction.Send.class::isInstance)
                .map(ClaimAction.Send.class::cast)
                .flatMap(s -> {
                    ClaimReply reply = voter(s.to()).onRequest((ClaimRequest) s.message(), ofVoters, NOW);
                    return coordinator.reply(s.to(), reply, ofCoordinator, NOW).stream();
                })
                .toList();
        assertTrue(first(all, ClaimAction.Dispatch.class).isEmpty());
        List<String> askedLater = all.stream()
                .filter(ClaimAction.Send.class::isInstance)
                .map(a -> ((ClaimAction.Send) a).to().value())
                .sorted()
                .toList();
        assertEquals(List.of("h5", "h6", "h7", "h8", "h9"), askedLater);
    }

    /** If an answer is lost on the way to its caller, a resend must get it. */
    @Test
    void resendGetsTheAnswerOfTheHolder() {
        deliver(coordinator, coordinator.start(VIEW, NOW), VIEW, NOW);
        coordinator.dispatched(NOW);
        for (ClaimAction action : coordinator.answered(201, new byte[] {1}, NOW + 5)) {
            if (action instanceof ClaimAction.Send send) {
                voter(send.to()).onOutcome((ClaimOutcome) send.message(), NOW + 6);
            }
        }
        ClaimCoordinator resend = coordinator(9);
        List<ClaimAction> answers = deliver(resend, resend.start(VIEW, NOW + 100), VIEW, NOW + 100);
        assertEquals(
                201,
                first(answers, ClaimAction.Relay.class).orElseThrow().outcome().httpStatus());
        assertEquals(
                1, answers.stream().filter(ClaimAction.Relay.class::isInstance).count());
    }

    /** A key without a usable time of issue must never be treated as newly issued. */
    @Test
    void timesOfIssueAreReadFromUuidsAndHeaders() {
        assertEquals(0x0190b6c27d1eL, IssueTimes.of("0190b6c2-7d1e-7c3a-9f5e-2b7c1d0e4a61", null));
        assertEquals(IssueTimes.UNKNOWN, IssueTimes.of("0190b6c2-7d1e-4c3a-9f5e-2b7c1d0e4a61", " "));
        assertEquals(1_000, IssueTimes.of("k", "1970-01-01T00:00:01Z"));
        assertEquals(5, IssueTimes.of("0190b6c2-7d1e-7c3a-9f5e-2b7c1d0e4a61", "5"));
        assertThrows(IllegalArgumentException.class, () -> IssueTimes.of("k", "yesterday"));
    }
}
