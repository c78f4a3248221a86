package org.guavathread.core.claim;

import java.util.List;

import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;
import org.junit.jupiter.api.Test;

import static org.guavathread.core.claim.ClaimFixtures.NOW;
import static org.guavathread.core.claim.ClaimFixtures.RETENTION;
import static org.guavathread.core.claim.ClaimFixtures.SELF;
import static org.guavathread.core.claim.ClaimFixtures.SETTINGS;
import static org.guavathread.core.claim.ClaimFixtures.abort;
import static org.guavathread.core.claim.ClaimFixtures.attempt;
import static org.guavathread.core.claim.ClaimFixtures.key;
import static org.guavathread.core.claim.ClaimFixtures.members;
import static org.guavathread.core.claim.ClaimFixtures.oldVoter;
import static org.guavathread.core.claim.ClaimFixtures.request;
import static org.guavathread.core.claim.ClaimFixtures.settled;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClaimVoterTest {

    private static final ClaimKey KEY = key("w1", "k1");
    private static final EpochMembers FIVE = members(1, 0, 5);

    private final ClaimVoter voter = oldVoter(SETTINGS);

    private ClaimVote vote(ClaimVoter of, ClaimRequest request, EpochView view, long now) {
        return of.onRequest(request, view, now).vote();
    }

    private ClaimVote vote(int sequence, long arrivedAt, long now) {
        return vote(voter, request(KEY, sequence, arrivedAt, IssueTimes.UNKNOWN), settled(FIVE), now);
    }

    /** If one voter granted a key twice, two attempts could each get a majority. */
    @Test
    void grantsKeyToOneAttemptOnly() {
        assertEquals(ClaimVote.GRANTED, vote(1, NOW, NOW));
        assertEquals(ClaimVote.GRANTED, vote(1, NOW, NOW + 1));
        assertEquals(ClaimVote.HELD, vote(2, NOW, NOW + 2));
    }

    /** A claim that overtakes its own abort would hold the key for an attempt that never runs. */
    @Test
    void refusesClaimThatArrivesAfterItsAbort() {
        voter.onAbort(abort(KEY, 1, ClaimAbort.RELEASE_ONLY), settled(FIVE), NOW);
        assertEquals(ClaimVote.ABORTED, vote(1, NOW, NOW + 1));
        assertEquals(ClaimVote.GRANTED, vote(2, NOW, NOW + 1));
    }

    /** If a request in flight ran after a confirmed abort, the answer not_run would be false. */
    @Test
    void barsAttemptsThatArrivedBeforeTheBarrier() {
        ClaimAbortReply reply =
                voter.onAbort(abort(KEY, 1, NOW + 1_600), settled(FIVE), NOW).orElseThrow();
        assertEquals(ClaimVote.CONFIRMED, reply.vote());
        assertEquals(ClaimVote.BARRED, vote(2, NOW + 1_600, NOW + 1_700));
        assertEquals(ClaimVote.GRANTED, vote(3, NOW + 1_601, NOW + 1_700));
    }

    /** If an abort were confirmed while another attempt may run, the answer not_run would be false. */
    @Test
    void doesNotConfirmAnAbortWhileAnotherAttemptHoldsTheKey() {
        vote(1, NOW, NOW);
        ClaimAbortReply reply =
                voter.onAbort(abort(KEY, 2, NOW + 1_600), settled(FIVE), NOW).orElseThrow();
        assertEquals(ClaimVote.HELD, reply.vote());
    }

    /** A voter that lost a claim in a restart and votes again lets the request run twice. */
    @Test
    void abstainsAfterStartUnlessTheKeyIsYounger() {
        ClaimVoter fresh = new ClaimVoter(SELF, new Incarnation(NOW), NOW, SETTINGS);
        EpochView view = new EpochView(FIVE, NOW + RETENTION * 2, 0, 0, List.of());
        long later = NOW + 10_000;
        assertEquals(ClaimVote.ABSTAINED, vote(fresh, request(KEY, 1, later, IssueTimes.UNKNOWN), view, later));
        assertEquals(ClaimVote.ABSTAINED, vote(fresh, request(KEY, 1, later, NOW + 1_999), view, later));
        assertEquals(ClaimVote.GRANTED, vote(fresh, request(KEY, 1, later, NOW + 2_000), view, later));
        long recordsComplete = NOW + SETTINGS.recordLifetimeMillis();
        ClaimRequest plain = request(key("w1", "k2"), 1, recordsComplete, IssueTimes.UNKNOWN);
        assertEquals(ClaimVote.GRANTED, vote(fresh, plain, view, recordsComplete));
    }

    /** A time of issue in the future would defeat the abstention after the next restart. */
    @Test
    void refusesKeysIssuedInTheFutureOrTooLongAgo() {
        assertEquals(ClaimVote.NOT_YET, vote(voter, request(KEY, 1, NOW, NOW + 2_001), settled(FIVE), NOW));
        assertEquals(ClaimVote.EXPIRED, vote(voter, request(KEY, 1, NOW, NOW - RETENTION), settled(FIVE), NOW));
    }

    /** Partitioned voters that keep voting under an old epoch could form a second majority. */
    @Test
    void votesOnlyUnderItsLeaseAndEpoch() {
        EpochView withoutLease = new EpochView(FIVE, NOW, 0, 0, List.of());
        ClaimRequest request = request(KEY, 1, NOW, IssueTimes.UNKNOWN);
        assertEquals(ClaimVote.NO_LEASE, vote(voter, request, withoutLease, NOW));
        assertEquals(ClaimVote.OLD_EPOCH, vote(voter, request, settled(members(2, 0, 5)), NOW));
        ClaimRequest newer = new ClaimRequest(KEY, attempt(1), new HostEpoch(3), NOW, IssueTimes.UNKNOWN);
        assertEquals(ClaimVote.NOT_YET, vote(voter, newer, settled(members(2, 0, 5)), NOW));
    }

    /** A partitioned host may have missed an epoch in which others ran the request. */
    @Test
    void abstainsAfterItLearntOfAnEpochWithoutLease() {
        ClaimVoter cutOff = oldVoter(SETTINGS);
        cutOff.observe(settled(FIVE), NOW);
        long adopted = NOW + 20_000;
        EpochView newer = new EpochView(members(2, 0, 5), adopted + 60_000, adopted, adopted + 10_000, List.of());
        long now = adopted + 11_000;
        ClaimRequest request = new ClaimRequest(KEY, attempt(1), new HostEpoch(2), now, IssueTimes.UNKNOWN);
        assertEquals(ClaimVote.ABSTAINED, vote(cutOff, request, newer, now));
    }

    /** A workspace that fills the voter must neither erase claims nor block other workspaces. */
    @Test
    void refusesNewKeysWhenFullAndKeepsOldOnes() {
        ClaimVoter small = oldVoter(SETTINGS.withLimits(8, 100));
        for (int i = 0; i < 5; i++) {
            ClaimRequest request = request(key("w1", "k" + i), 1, NOW, IssueTimes.UNKNOWN);
            assertEquals(i < 2 ? ClaimVote.GRANTED : ClaimVote.FULL, vote(small, request, settled(FIVE), NOW));
        }
        ClaimRequest other = request(key("w2", "k0"), 1, NOW, IssueTimes.UNKNOWN);
        assertEquals(ClaimVote.GRANTED, vote(small, other, settled(FIVE), NOW));
        assertEquals(
                ClaimVote.HELD, vote(small, request(key("w1", "k0"), 2, NOW, IssueTimes.UNKNOWN), settled(FIVE), NOW));
        assertEquals(3, small.size());
    }

    /** Evicting answers over the byte limit must not remove the claims that they belong to. */
    @Test
    void dropsOldestAnswersAndKeepsTheirClaims() {
        ClaimVoter small = oldVoter(SETTINGS.withLimits(100, 100));
        for (int i = 0; i < 3; i++) {
            ClaimKey key = key("w1", "k" + i);
            vote(small, request(key, i, NOW, IssueTimes.UNKNOWN), settled(FIVE), NOW);
            byte[] answer = new byte[40];
            small.onOutcome(new ClaimOutcome(key, attempt(i), ClaimOutcome.Status.ANSWERED, 200, answer), NOW);
        }
        assertTrue(small.answerBytes() <= 100, "bytes " + small.answerBytes());
        ClaimReply oldest = small.onRequest(request(key("w1", "k0"), 9, NOW, IssueTimes.UNKNOWN), settled(FIVE), NOW);
        assertEquals(ClaimVote.HELD, oldest.vote());
        assertEquals(
                ClaimOutcome.Status.NOT_KEPT, oldest.outcome().orElseThrow().status());
    }

    /** Entries that are not removed after the retention would fill the voter. */
    @Test
    void forgetsAfterRetention() {
        vote(1, NOW, NOW);
        long end = NOW + SETTINGS.recordLifetimeMillis();
        EpochView longLease = new EpochView(FIVE, end + 9_000, 0, 0, List.of());
        voter.observe(longLease, end - 1);
        assertEquals(1, voter.size());
        voter.observe(longLease, end + 1_000);
        assertEquals(0, voter.size());
    }
}
