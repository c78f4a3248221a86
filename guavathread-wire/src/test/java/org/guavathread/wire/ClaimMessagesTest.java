package org.guavathread.wire;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.claim.AttemptState;
import org.guavathread.core.claim.ClaimAbort;
import org.guavathread.core.claim.ClaimAbortReply;
import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.claim.ClaimOutcome;
import org.guavathread.core.claim.ClaimReply;
import org.guavathread.core.claim.ClaimRequest;
import org.guavathread.core.claim.ClaimSettings;
import org.guavathread.core.claim.ClaimVote;
import org.guavathread.core.claim.EpochVoters;
import org.guavathread.core.claim.OutcomeQuery;
import org.guavathread.core.claim.OutcomeReply;
import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.IdempotencyKey;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.message.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

class ClaimMessagesTest {

    private static final ClaimKey KEY =
            new ClaimKey(new WorkspaceId("w1"), new RouteId("booking"), new IdempotencyKey("k1"));
    private static final AttemptId ATTEMPT = new AttemptId(new HostId("h1"), new Incarnation(7), 3);
    private static final HostEpoch EPOCH = new HostEpoch(4);
    private static final List<EpochVoters> EARLIER =
            List.of(new EpochVoters(new HostEpoch(3), List.of(new HostId("h2"), new HostId("h3"))));

    private final FrameCodec codec = new FrameCodec(new MessageRegistry()
            .register(1, ClaimRequest.class)
            .register(2, ClaimReply.class)
            .register(3, ClaimAbort.class)
            .register(4, ClaimAbortReply.class)
            .register(5, ClaimOutcome.class)
            .register(6, OutcomeQuery.class)
            .register(7, OutcomeReply.class));

    /** Without this test, a message component that cannot be encoded would fail only in the daemon. */
    @Test
    void everyClaimMessageSurvivesTheWire() {
        List<PeerMessage> messages = List.of(
                new ClaimRequest(KEY, ATTEMPT, EPOCH, 5, -1),
                new ClaimReply(
                        KEY,
                        ATTEMPT,
                        EPOCH,
                        ClaimVote.HELD,
                        Optional.of(ATTEMPT),
                        0,
                        new Incarnation(2),
                        EPOCH,
                        EARLIER,
                        Optional.empty()),
                new ClaimAbort(KEY, ATTEMPT, EPOCH, -1, 9),
                new ClaimAbortReply(KEY, ATTEMPT, EPOCH, 9, ClaimVote.CONFIRMED, EPOCH, EARLIER, Optional.empty()),
                new OutcomeQuery(KEY, ATTEMPT, true),
                new OutcomeReply(KEY, ATTEMPT, true, AttemptState.DISPATCHED, Optional.empty()));
        for (PeerMessage message : messages) {
            assertEquals(
                    message,
                    codec.decode(codec.encode(new Frame(1, false, message))).message());
        }
    }

    /** The largest answer that claims keep must fit into a frame. */
    @Test
    void largestKeptAnswerFitsIntoAFrame() {
        byte[] answer = new byte[ClaimSettings.MAX_KEPT_ANSWER_BYTES];
        answer[9] = 9;
        ClaimOutcome outcome = new ClaimOutcome(KEY, ATTEMPT, ClaimOutcome.Status.ANSWERED, 200, answer);
        PeerMessage read =
                codec.decode(codec.encode(new Frame(1, false, outcome))).message();
        assertArrayEquals(answer, ((ClaimOutcome) read).answer());
    }
}
