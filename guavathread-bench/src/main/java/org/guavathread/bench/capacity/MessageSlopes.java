package org.guavathread.bench.capacity;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.guavathread.core.claim.ClaimKey;
import org.guavathread.core.claim.ClaimOutcome;
import org.guavathread.core.claim.ClaimReply;
import org.guavathread.core.claim.ClaimRequest;
import org.guavathread.core.claim.ClaimVote;
import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.IdempotencyKey;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.ModelId;
import org.guavathread.core.id.RegionId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.limit.BudgetGrant;
import org.guavathread.core.limit.BudgetReturn;
import org.guavathread.core.limit.BudgetTake;
import org.guavathread.core.limit.GrantId;
import org.guavathread.core.limit.TakeId;
import org.guavathread.core.membership.Heartbeat;
import org.guavathread.core.membership.PeerReport;
import org.guavathread.core.membership.ServiceContact;
import org.guavathread.core.message.PeerMessage;
import org.guavathread.core.placement.CellId;
import org.guavathread.core.placement.Grant;
import org.guavathread.core.placement.PlacePrefillDone;
import org.guavathread.core.placement.PlaceRelease;
import org.guavathread.core.placement.PlaceRenew;
import org.guavathread.core.placement.PlaceReply;
import org.guavathread.router.service.PeerMessages;
import org.guavathread.wire.Frame;
import org.guavathread.wire.FrameCodec;

/** Measures the encoded size of the messages that are sent per request or per second. */
final class MessageSlopes {

    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final long NOW = 1_800_000_000_000L;
    private static final HostId HOST = new HostId("curico-entry-17");
    private static final Incarnation INCARNATION = new Incarnation(NOW);
    private static final WorkspaceId WORKSPACE = new WorkspaceId("workspace-12345");
    private static final RequestId REQUEST = new RequestId("curico-entry-17-mx8l9u60-123456");
    private static final BackendServerId ENGINE = new BackendServerId("resumidor-decode-123");
    private static final CellId CELL = new CellId(new ModelId("resumidor"), new RegionId("maule"), 3);

    private static final FrameCodec CODEC = new FrameCodec(PeerMessages.registry());

    private MessageSlopes() {}

    static Map<String, Integer> all() {
        Map<String, Integer> sizes = new LinkedHashMap<>();
        for (PeerMessage message : samples()) {
            sizes.put(message.getClass().getSimpleName(), bytes(message));
        }
        return sizes;
    }

    static int bytes(PeerMessage message) {
        return LENGTH_PREFIX_BYTES + CODEC.encode(new Frame(123_456, false, message)).length;
    }

    static PeerMessage heartbeat() {
        PeerReport report = new PeerReport(
                INCARNATION, new SheetVersion(123_456), false, 250, Optional.of(new ServiceContact(HOST, 1_500)));
        return new Heartbeat(report);
    }

    private static List<PeerMessage> samples() {
        TakeId takeId = new TakeId(HOST, Long.MAX_VALUE / 3, 123_456);
        GrantId grantId = new GrantId(Long.MAX_VALUE / 5, 654_321);
        ClaimKey key = new ClaimKey(
                WORKSPACE, new RouteId("booking"), new IdempotencyKey("0190b6c2-7d1e-7c3a-9f5e-2b7c1d0e4a61"));
        AttemptId attempt = new AttemptId(HOST, INCARNATION, Long.MAX_VALUE / 7);
        HostEpoch epoch = new HostEpoch(123_456);
        return List.of(
                heartbeat(),
                new BudgetTake(takeId, WORKSPACE, 1_720),
                new BudgetGrant(takeId, grantId, 1_720, 4_000, 250),
                new BudgetReturn(WORKSPACE, grantId, 200),
                new ClaimRequest(key, attempt, epoch, NOW, NOW),
                new ClaimReply(
                        key,
                        attempt,
                        epoch,
                        ClaimVote.GRANTED,
                        Optional.of(attempt),
                        0,
                        INCARNATION,
                        epoch,
                        List.of(),
                        Optional.empty()),
                new ClaimOutcome(key, attempt, ClaimOutcome.Status.ANSWERED, 200, new byte[200]),
                StateSlopes.request(123_456),
                PlaceReply.granted(REQUEST, new Grant(ENGINE, ENGINE, 2, NOW), 12),
                new PlacePrefillDone(REQUEST, 512, 40),
                new PlaceRelease(REQUEST, PlaceRelease.Ending.FINISHED, 220),
                new PlaceRenew(
                        CELL,
                        HOST,
                        INCARNATION,
                        List.of(new PlaceRenew.Running(REQUEST, WORKSPACE, ENGINE, 2, 1_500, 110))));
    }
}
