package org.guavathread.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.guavathread.core.dispatch.ColdServers.Warmth;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.HostId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.routing.ServiceTerms;
import org.guavathread.core.routing.ServiceTerms.ColdTerms;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against cold servers that are taken as warm, and against warm ones that are spared for ever. */
class ColdServersTest {

    private static final ServiceName SERVICE = new ServiceName("llm");
    private static final long NOW = 1_000_000;
    private static final Optional<ColdServers.Tolerance> TOLERANCE = Optional.of(new ColdServers.Tolerance(1.5, 5));
    private static final List<ServiceTerms> SERVICES =
            List.of(new ServiceTerms(SERVICE, Optional.empty(), Optional.of(new ColdTerms(3_000, 10))));

    private final ColdServers cold = new ColdServers(TOLERANCE);

    @BeforeEach
    void apply() {
        cold.update(SERVICES, List.of(server(1)), NOW);
    }

    private static Worker server(long startedAtMillis) {
        return new Worker(
                new BackendServerId("i-1"),
                SERVICE,
                new SocketAddressText("127.0.0.1", 1_000),
                new DataCentreId("talca"),
                16,
                false,
                EngineStage.DECODE,
                new SoftwareVersion("v1"),
                startedAtMillis);
    }

    @Test
    void serverThatStartedLongAgoIsWarm() {
        assertEquals(Warmth.WARM, cold.warmthOf(server(1), NOW));
        assertEquals(0, cold.size(NOW));
    }

    @Test
    void serverIsColdUntilTheEndThatItsEntryStates() {
        Worker stating = server(1).coldUntil(NOW + 700);
        cold.update(SERVICES, List.of(stating), NOW);
        assertTrue(cold.isCold(stating, NOW + 699));
        assertEquals(1, cold.size(NOW + 699));
        assertFalse(cold.isCold(stating, NOW + 700));
    }

    @Test
    void processThatHasJustStartedIsColdWhateverItsEntryStates() {
        cold.update(SERVICES, List.of(server(NOW - 1_000)), NOW);
        assertTrue(cold.isCold(server(NOW - 1_000), NOW + 2_999));
        assertFalse(cold.isCold(server(NOW - 1_000), NOW + 3_000));
    }

    @Test
    void processOfUnknownStartIsColdFromWhenItIsFirstSeen() {
        cold.update(SERVICES, List.of(server(0)), NOW);
        cold.update(SERVICES, List.of(server(0)), NOW + 2_000);
        assertTrue(cold.isCold(server(0), NOW + 2_999));
        assertFalse(cold.isCold(server(0), NOW + 3_000));
    }

    @Test
    void serverWithAWrongClockDoesNotStayColdForEver() {
        cold.update(SERVICES, List.of(server(NOW + 900_000)), NOW);
        cold.update(SERVICES, List.of(server(NOW + 900_000)), NOW + 10_000);
        assertFalse(cold.isCold(server(NOW + 900_000), NOW + 10_000));
    }

    @Test
    void serverThatAnswersAfterItCouldNotBeReachedMayHaveStartedAgain() {
        cold.notConnected(server(1));
        assertEquals(Warmth.UNKNOWN, cold.warmthOf(server(1), NOW + 60_000));
        cold.connected(server(1), NOW + 60_000);
        assertTrue(cold.isCold(server(1), NOW + 62_999));
        assertFalse(cold.isCold(server(1), NOW + 63_000));
    }

    @Test
    void hostThatHearsNothingOfChangesIsCareful() {
        cold.hearsOfChanges(false);
        assertEquals(Warmth.UNKNOWN, cold.warmthOf(server(1), NOW));
        cold.hearsOfChanges(true);
        assertEquals(Warmth.WARM, cold.warmthOf(server(1), NOW));
    }

    @Test
    void serversOfADataCentreThatIsTakenBackMayBeCold() {
        cold.mayHaveBecomeCold(List.of(server(1)), NOW);
        assertTrue(cold.isCold(server(1), NOW + 2_999));
        assertEquals(List.of(), cold.notCold(List.of(server(1)), NOW));
    }

    @Test
    void nothingIsColdWhereTheServiceHasNoTerms() {
        cold.update(List.of(new ServiceTerms(SERVICE, Optional.empty(), Optional.empty())), List.of(server(NOW)), NOW);
        cold.hearsOfChanges(false);
        cold.notConnected(server(NOW));
        assertEquals(Warmth.WARM, cold.warmthOf(server(NOW).coldUntil(NOW + 1_000), NOW));
    }

    @Test
    void nothingIsColdWhereNoToleranceIsSet() {
        ColdServers without = new ColdServers(Optional.empty());
        without.update(SERVICES, List.of(server(NOW)), NOW);
        assertEquals(Warmth.WARM, without.warmthOf(server(NOW).coldUntil(NOW + 1_000), NOW));
    }

    @Test
    void bothLimitsOfAServerBindARequest() {
        ServerLimits limits = new ServerLimits(new HostId("h1"), cold);
        Worker stating = server(1).coldUntil(NOW + 2_000);
        limits.state(stating.id(), OptionalDouble.of(100), NOW);
        PermitTerms run = limits.termsOf(stating, SendPurpose.WORK, NOW + 1_000).orElseThrow();
        assertEquals(new PermitTerms(OptionalDouble.of(100), OptionalDouble.of(15), true), run);
        PermitTerms reservation =
                limits.termsOf(stating, SendPurpose.RESERVATION, NOW + 1_000).orElseThrow();
        assertEquals(OptionalDouble.empty(), reservation.statedPerSecond());
        assertEquals(Optional.empty(), limits.termsOf(stating, SendPurpose.RESERVATION, NOW + 2_000));
    }

    @Test
    void hostWithoutAnOwnerSendsLittleToServersThatMayBeColdAndNothingToColdOnes() {
        ServerLimits limits = new ServerLimits(new HostId("h1"), cold);
        cold.hearsOfChanges(false);
        PermitTerms doubt = limits.termsOf(server(1), SendPurpose.WORK, NOW).orElseThrow();
        int sent = 0;
        for (long now = NOW; now < NOW + 15_000; now += 10) {
            sent += limits.grantWithoutOwner(server(1).id(), doubt, now) == 0 ? 1 : 0;
        }
        assertEquals(10, sent);
        assertTrue(limits.grantWithoutOwner(server(1).id(), PermitTerms.cold(15), NOW + 60_000) > 0);
        PermitTerms statedAsWell = new PermitTerms(OptionalDouble.of(1), OptionalDouble.of(15), false);
        assertTrue(limits.grantWithoutOwner(server(1).id(), statedAsWell, NOW + 60_000) > 0);
    }

    @Test
    void serverThatToleratesNothingIsLeftAlone() {
        ServerLimits limits = new ServerLimits(new HostId("h1"), cold);
        assertTrue(limits.grant(server(1).id(), PermitTerms.cold(0), NOW) > 0);
        assertTrue(limits.grant(server(1).id(), PermitTerms.cold(0), NOW + 10_000) > 0);
    }

    @Test
    void refusedRequestUsesUpNoLimit() {
        ServerLimits limits = new ServerLimits(new HostId("h1"), cold);
        BackendServerId id = server(1).id();
        PermitTerms both = new PermitTerms(OptionalDouble.of(0.3), OptionalDouble.of(15), true);
        for (int i = 0; i < 100; i++) {
            limits.grant(id, both, NOW + 1_500 + i);
        }
        assertEquals(0, limits.grant(id, PermitTerms.cold(15), NOW + 1_600), "the stated limit refused the others");
    }
}
