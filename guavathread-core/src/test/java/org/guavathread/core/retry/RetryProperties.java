package org.guavathread.core.retry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.id.RequestId;
import org.guavathread.core.request.RequestKind;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against retry storms, tokens sent twice or out of order, and requests that crash one engine after another. */
class RetryProperties {

    @Property(seed = "111", tries = 100, shrinking = ShrinkingMode.OFF)
    void retriesStayWithinTheBudgetAndOnePerRequest(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget();
        Set<RequestId> retried = new HashSet<>();
        int started = 0;
        for (int i = 0; i < 2_000; i++) {
            budget.requestStarted();
            started++;
            RequestId id = new RequestId("r" + random.nextInt(1 + i));
            RequestKind kind = RequestKind.values()[random.nextInt(3)];
            if (budget.tryRetry(id, kind)) {
                assertTrue(kind.isRepeatable(), "a non-repeatable request was retried");
                assertTrue(retried.add(id), id + " was retried twice");
                assertTrue(retried.size() <= 3 + started / 10, retried.size() + " retries of " + started);
            }
        }
    }

    @Property(seed = "112", tries = 300, shrinking = ShrinkingMode.OFF)
    void callerGetsEachTokenOnceInOrder(@ForAll long seed) {
        Random random = new Random(seed);
        ResumeTracker tracker = new ResumeTracker();
        List<String> sent = new ArrayList<>();
        int length = 1 + random.nextInt(60);
        for (int call = 0; call < 6 && tracker.state() != ResumeTracker.State.FINISHED; call++) {
            int source = call == 0 ? tracker.source() : tracker.resume();
            int from = Math.max(0, tracker.nextOffset() - random.nextInt(3));
            int until = call == 5 ? length : from + random.nextInt(length - from + 1);
            for (int i = from; i < until; i++) {
                int swapped = i + 1 < until && random.nextInt(5) == 0 ? i + 1 : i;
                sent.addAll(tracker.token(source, swapped, "t" + swapped).send());
                sent.addAll(tracker.token(source, i, "t" + i).send());
                sent.addAll(
                        tracker.token(source - 1, tracker.nextOffset(), "old").send());
            }
            if (until == length) {
                tracker.done(source, length);
            } else {
                tracker.broken(source);
            }
        }
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < length; i++) {
            expected.add("t" + i);
        }
        assertEquals(expected, sent);
        assertEquals(ResumeTracker.State.FINISHED, tracker.state());
    }

    @Example
    void anAnswerWithAMissingTokenIsNotFinished() {
        ResumeTracker tracker = new ResumeTracker();
        tracker.token(0, 0, "a");
        tracker.token(0, 2, "c");
        assertEquals(ResumeTracker.State.BROKEN, tracker.done(0, 3).state());
        assertEquals(1, tracker.nextOffset());
    }

    @Example
    void aFingerprintIsRefusedAfterTwoCrashesForTenMinutes() {
        CrashFingerprints owner = new CrashFingerprints();
        Fingerprint fingerprint = new Fingerprint(7);
        HostId self = new HostId("h");
        List<HostId> peers = List.of(new HostId("a"), new HostId("b"));
        CrashNotice first = owner.serverCrashed(new BackendServerId("d0"), List.of(fingerprint), f -> List.of(self), 0)
                .get(0)
                .notice();
        owner.noticed(first, peers, 0);
        owner.noticed(first, peers, 1_000);
        assertFalse(owner.isRefused(fingerprint, 1_000), "two reports of one crash count as two");
        CrashNotice second = new CrashNotice(fingerprint, new BackendServerId("d1"), 2_000, 0);
        assertEquals(2, owner.noticed(second, peers, 2_000).size(), "the refusal is not forwarded");
        assertTrue(owner.isRefused(fingerprint, 601_999));
        assertFalse(owner.isRefused(fingerprint, 602_000));
        assertTrue(owner.noticed(second, peers, 3_000).isEmpty(), "the refusal is forwarded again");
    }

    @Example
    void crashRecordsAreBounded() {
        CrashFingerprints owner = new CrashFingerprints();
        for (int i = 0; i < 30_000; i++) {
            owner.noticed(new CrashNotice(new Fingerprint(i), new BackendServerId("d"), 0, 0), List.of(), i);
        }
        assertTrue(owner.size() <= 8_192, owner.size() + " entries");
    }
}
