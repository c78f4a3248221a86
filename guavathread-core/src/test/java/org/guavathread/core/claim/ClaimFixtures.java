package org.guavathread.core.claim;

import java.util.List;
import java.util.stream.IntStream;

import org.guavathread.core.id.AttemptId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostEpoch;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.IdempotencyKey;
import org.guavathread.core.id.Incarnation;
import org.guavathread.core.id.RouteId;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.membership.EpochMembers;
import org.guavathread.core.membership.EpochView;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.SocketAddressText;

/** Keys, attempts and views for tests of claims. */
final class ClaimFixtures {

    static final long NOW = 1_800_000_000_000L;
    static final long RETENTION = 300_000;
    static final ClaimSettings SETTINGS = ClaimSettings.defaults(RETENTION);
    static final HostId SELF = new HostId("h0");

    private ClaimFixtures() {}

    static ClaimKey key(String workspace, String key) {
        return new ClaimKey(new WorkspaceId(workspace), new RouteId("booking"), new IdempotencyKey(key));
    }

    static AttemptId attempt(int sequence) {
        return new AttemptId(new HostId("h1"), new Incarnation(1), sequence);
    }

    static EpochMembers members(long epoch, int firstHost, int count) {
        SocketAddressText address = new SocketAddressText("127.0.0.1", 8_080);
        List<Host> hosts = IntStream.range(firstHost, firstHost + count)
                .mapToObj(i -> new Host(
                        new HostId("h" + i), new DataCentreId("dc"), address, address, address, AdminState.ACTIVE))
                .toList();
        return new EpochMembers(new HostEpoch(epoch), hosts);
    }

    /** Returns a view with a settled epoch and a lease of 9 s. */
    static EpochView settled(EpochMembers members) {
        return new EpochView(members, NOW + 9_000, 0, 0, List.of());
    }

    static ClaimVoter oldVoter(ClaimSettings settings) {
        return new ClaimVoter(SELF, new Incarnation(0), 0, settings);
    }

    static ClaimRequest request(ClaimKey key, int sequence, long arrivedAt, long issuedAt) {
        return new ClaimRequest(key, attempt(sequence), new HostEpoch(1), arrivedAt, issuedAt);
    }

    static ClaimAbort abort(ClaimKey key, int sequence, long barrier) {
        return new ClaimAbort(key, attempt(sequence), new HostEpoch(1), IssueTimes.UNKNOWN, barrier);
    }
}
