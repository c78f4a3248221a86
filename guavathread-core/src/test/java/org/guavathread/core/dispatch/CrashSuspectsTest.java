package org.guavathread.core.dispatch;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against crashing requests that are not recognised, and against sound ones that are refused in their place. */
class CrashSuspectsTest {

    private static final CrashTrait SHARED = CrashTrait.ofPromptPart(10, 0);
    private static final CrashTrait CRASHING = CrashTrait.ofPromptPart(11, 1);

    private final CrashSuspects here = new CrashSuspects();
    private final CrashSuspects there = new CrashSuspects();

    private static Worker server(int number) {
        return new Worker(
                new BackendServerId("i-" + number),
                new ServiceName("llm"),
                new SocketAddressText("127.0.0.1", 1_000 + number),
                new DataCentreId("talca"),
                8,
                false,
                EngineStage.DECODE,
                new SoftwareVersion("v1"),
                1);
    }

    private static List<CrashTrait> request(int number) {
        return List.of(CrashTrait.ofRequest(number));
    }

    private static List<CrashTrait> crashing(int number) {
        return List.of(SHARED, CRASHING, CrashTrait.ofRequest(number));
    }

    private static boolean isRefused(CrashSuspects host, List<CrashTrait> traits) {
        return host.blamedOf(traits).isPresent();
    }

    @Test
    void requestThatCrashesServersIsRefusedByAllHostsUntilItIsAnswered() {
        List<CrashTrait> repeated = request(42);
        here.recordCrash(repeated, server(1), 1_000);
        there.recordCrash(repeated, server(2), 1_200);
        there.recordCrash(repeated, server(3), 1_400);
        assertFalse(isRefused(here, repeated));
        here.merge(there.report(1_500), 1_500);
        assertTrue(isRefused(here, repeated));
        assertFalse(isRefused(here, request(43)));
        here.recordAnswer(repeated, 1_650);
        here.merge(there.report(1_700), 1_700);
        assertFalse(isRefused(here, repeated), "it was answered, so the servers crashed for another reason");
        here.recordCrash(repeated, server(4), 2_000);
        there.recordCrash(repeated, server(5), 2_100);
        there.recordCrash(repeated, server(6), 2_400);
        here.merge(there.report(2_450), 2_450);
        assertTrue(isRefused(here, repeated), "three crashes after the answer count as for any other request");
    }

    @Test
    void requestsThatShareACrashingPartAreRefusedThoughNoTwoAreAlike() {
        for (int i = 0; i < 3; i++) {
            (i % 2 == 0 ? here : there).recordCrash(crashing(100 + i), server(i), 1_000 + 200 * i);
        }
        here.merge(there.report(1_500), 1_500);
        assertEquals(Optional.of(CRASHING), here.blamedOf(crashing(999)));
    }

    @Test
    void requestsThatShareOnlyTheOtherPartsAreServed() {
        for (int i = 0; i < 3; i++) {
            here.recordCrash(crashing(100 + i), server(i), 1_000 + 200 * i);
        }
        assertFalse(isRefused(here, List.of(SHARED, CrashTrait.ofPromptPart(12, 1), CrashTrait.ofRequest(5))));
    }

    @Test
    void earlierPartIsBlamedOnceRequestsWithoutTheLaterPartCrashToo() {
        for (int i = 0; i < 3; i++) {
            here.recordCrash(crashing(100 + i), server(i), 1_000 + 200 * i);
        }
        List<CrashTrait> other = List.of(SHARED, CrashTrait.ofPromptPart(12, 1), CrashTrait.ofRequest(5));
        here.recordCrash(other, server(7), 2_000);
        assertEquals(Optional.of(SHARED), here.blamedOf(other));
    }

    @Test
    void requestThatRanBesideCrashingOnesIsServed() {
        List<CrashTrait> bystander = List.of(CrashTrait.ofPromptPart(20, 0), CrashTrait.ofRequest(6));
        here.recordCrash(crashing(99), server(9), 900);
        for (int i = 0; i < 3; i++) {
            here.recordCrash(crashing(100 + i), server(i), 1_000 + 200 * i);
            there.recordCrash(bystander, server(i), 1_000 + 200 * i);
        }
        assertTrue(isRefused(there, bystander), "alone, this host cannot know better");
        there.merge(here.report(1_600), 1_600);
        assertFalse(isRefused(there, bystander), "the crashing part explains its crashes");
        assertTrue(isRefused(there, crashing(200)));
    }

    @Test
    void severalRequestsOnOneServerCountItsCrashOnce() {
        for (int i = 0; i < 10; i++) {
            here.recordCrash(crashing(100 + i), server(1), 1_000 + 100 * i);
        }
        assertFalse(isRefused(here, crashing(1)));
    }

    @Test
    void powerFailureOfAWholePoolBlamesNoRequest() {
        for (int i = 0; i < 20; i++) {
            here.recordCrash(crashing(100 + i), server(i), 1_000 + 10 * i);
        }
        assertFalse(isRefused(here, crashing(1)));
    }

    @Test
    void answerElsewhereAcquitsATraitAtAllHosts() {
        for (int i = 0; i < 3; i++) {
            here.recordCrash(crashing(100 + i), server(i), 1_000 + 200 * i);
        }
        there.merge(here.report(1_500), 1_500);
        there.recordAnswer(crashing(7), 1_550);
        here.merge(there.report(1_600), 1_600);
        assertFalse(isRefused(here, crashing(8)));
        there.merge(here.report(1_700), 1_700);
        assertFalse(isRefused(there, crashing(8)), "an older report does not bring back the blame");
    }

    @Test
    void blamedTraitIsTestedByOneRequestAfterADelayThatGrowsWithEachCrash() {
        for (int i = 0; i < 3; i++) {
            here.recordCrash(crashing(100 + i), server(i), 1_000 + 200 * i);
        }
        long firstTestMillis = 1_400 + CrashSuspects.TEST_DELAY_MILLIS;
        assertFalse(here.startTest(crashing(1), firstTestMillis - 1));
        assertTrue(here.startTest(crashing(1), firstTestMillis));
        assertFalse(here.startTest(crashing(2), firstTestMillis + 100), "one request at a time");
        here.recordCrash(crashing(1), server(50), firstTestMillis + 200);
        assertFalse(here.startTest(crashing(3), firstTestMillis + 200 + CrashSuspects.TEST_DELAY_MILLIS));
        long secondTestMillis = firstTestMillis + 200 + 2 * CrashSuspects.TEST_DELAY_MILLIS;
        assertTrue(here.startTest(crashing(3), secondTestMillis));
        here.recordAnswer(crashing(3), secondTestMillis + 100);
        assertFalse(isRefused(here, crashing(4)));
    }

    @Test
    void crashesOfTenMinutesAgoNoLongerCount() {
        here.recordCrash(crashing(1), server(1), 1_000);
        here.recordCrash(crashing(2), server(2), 2_000);
        here.recordCrash(crashing(3), server(3), 602_000);
        assertFalse(isRefused(here, crashing(4)));
    }

    @Test
    void evidenceAndReportsAreBounded() {
        for (int i = 0; i < 5_000; i++) {
            here.recordCrash(crashing(100 + i), server(i), 1_000 + i);
        }
        int reported =
                here.report(6_000).stream().mapToInt(e -> e.crashes().size()).sum();
        assertTrue(reported <= 20, reported + " crashes in a report");
        assertEquals(Optional.of(CRASHING), here.blamedOf(crashing(1)), "a blamed trait is not forgotten");
    }
}
