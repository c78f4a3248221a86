package org.guavathread.core.key;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.id.SheetVersion;
import org.guavathread.core.id.WorkspaceId;
import org.guavathread.core.sheet.AdminState;
import org.guavathread.core.sheet.Host;
import org.guavathread.core.sheet.KeyHash;
import org.guavathread.core.sheet.Sheet;
import org.guavathread.core.sheet.SocketAddressText;
import org.guavathread.core.sheet.Workspace;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards invariant 3: a request runs only for the workspace of its key, and a withdrawn key stops working. */
class WithdrawnKeyTest {

    private static final RequestId REQUEST = new RequestId("r1");

    private static Workspace workspace(String id, String... keys) {
        List<KeyHash> hashes = Arrays.stream(keys).map(KeyHash::ofKey).toList();
        return new Workspace(new WorkspaceId(id), hashes, 100, 400, Optional.empty());
    }

    private static KeyRing ring(Workspace... workspaces) {
        return KeyRing.of(Sheet.builder()
                .version(new SheetVersion(1))
                .workspaces(List.of(workspaces))
                .build());
    }

    private static Sheet sheetWithHosts(int count) {
        SocketAddressText address = SocketAddressText.parse("127.0.0.1:9000");
        List<Host> hosts = IntStream.range(0, count)
                .mapToObj(i -> new Host(
                        new HostId("h" + i), new DataCentreId("dc"), address, address, address, AdminState.ACTIVE))
                .toList();
        return Sheet.builder().hosts(hosts).build();
    }

    /** Guards against an unknown key being accepted, or a known one being mapped to the wrong workspace. */
    @Test
    void keyBelongsToItsWorkspaceOnly() {
        KeyRing ring = ring(workspace("w1", "a", "b"), workspace("w2", "c"));
        assertEquals(new WorkspaceId("w2"), ring.ownerOf("c").orElseThrow().workspace());
        assertTrue(ring.ownerOf("d").isEmpty());
    }

    /** Guards against a key that is listed by two workspaces being accepted for either. */
    @Test
    void keyListedByTwoWorkspacesIsUnknown() {
        KeyRing ring = ring(workspace("w1", "a", "b"), workspace("w2", "a"));
        assertTrue(ring.ownerOf("a").isEmpty());
        assertTrue(ring.ownerOf("b").isPresent());
    }

    /** Guards against a key that moved to another workspace still running requests for the earlier one. */
    @Test
    void removedAndMovedKeysAreWithdrawn() {
        KeyRing before = ring(workspace("w1", "kept", "removed", "moved"));
        KeyRing after = ring(workspace("w1", "kept"), workspace("w2", "moved", "new"));
        assertEquals(Set.of(KeyHash.ofKey("removed"), KeyHash.ofKey("moved")), before.withdrawnBy(after));
    }

    /** Guards against a request that outlives its key because one cancellation was lost. */
    @Test
    void cancellationIsRepeatedUntilTheRequestEnds() {
        KeyRing before = ring(workspace("w1", "a", "b"));
        KeyedRequests keyedRequests = new KeyedRequests(before);
        assertTrue(keyedRequests.register(REQUEST, before.ownerOf("a").orElseThrow()));
        assertTrue(
                keyedRequests.register(new RequestId("r2"), before.ownerOf("b").orElseThrow()));
        List<KeyedRequests.Cancellation> cancellations = keyedRequests.onSheet(ring(workspace("w1", "b")), 1000);
        assertEquals(
                List.of(REQUEST),
                cancellations.stream().map(KeyedRequests.Cancellation::request).toList());
        assertEquals(4000, cancellations.get(0).deadlineMillis());
        int repeats = 0;
        while (keyedRequests.nextWakeAtMillis() <= 4000) {
            repeats += keyedRequests.onWake(keyedRequests.nextWakeAtMillis()).size();
        }
        assertEquals(6, repeats);
        keyedRequests.remove(REQUEST);
        assertTrue(keyedRequests.onWake(keyedRequests.nextWakeAtMillis()).isEmpty());
        assertEquals(Long.MAX_VALUE, keyedRequests.nextWakeAtMillis());
    }

    /** Guards against a request whose key was looked up just before the withdrawal being registered after it. */
    @Test
    void requestLookedUpInAnOldRingIsRejected() {
        KeyRing before = ring(workspace("w1", "a"));
        KeyedRequests keyedRequests = new KeyedRequests(before);
        keyedRequests.onSheet(ring(workspace("w1")), 1000);
        assertFalse(keyedRequests.register(REQUEST, before.ownerOf("a").orElseThrow()));
    }

    /** Guards against an isolated host accepting withdrawn keys, and against a single host refusing all requests. */
    @Test
    void hostWithoutAnswersIsIsolatedAfterTenSeconds() {
        IsolationDetector detector = new IsolationDetector(0);
        detector.onPeerAnswer(5000).onConfigAnswer(3000);
        assertFalse(detector.isIsolated(sheetWithHosts(2), 14_999));
        assertTrue(detector.isIsolated(sheetWithHosts(2), 15_000));
        assertFalse(detector.isIsolated(sheetWithHosts(1), 1_000_000));
        detector.onConfigAnswer(16_000);
        assertFalse(detector.isIsolated(sheetWithHosts(2), 16_001));
    }
}
