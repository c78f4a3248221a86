package org.guavathread.core.publish;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.registry.EngineStage;
import org.guavathread.core.registry.EvacuatedDataCentres;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.RoutingTable;
import org.guavathread.core.routing.ServiceName;
import org.guavathread.core.sheet.SocketAddressText;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against servers of an evacuated data centre that stay in use, and against evacuations that do not end. */
class PublishedEvacuationTest {

    private static final ServiceName SERVICE = new ServiceName("patio");
    private static final int SERVERS = 25;
    private static final StorePosition START = new StorePosition(1, 100);
    private static final StorePosition EVACUATED = new StorePosition(1, 120);

    private final PublishedState state = new PublishedState(new NameDecoder(), 3_600);

    /** Decodes keys alone: {@code s/DATA-CENTRE/NUMBER} is a server, {@code e/DATA-CENTRE} an evacuation. */
    private static final class NameDecoder implements ItemDecoder {

        @Override
        public boolean isConfiguration(String key) {
            return false;
        }

        @Override
        public Optional<BackendServerId> serverOf(String key) {
            return key.startsWith("s/") ? Optional.of(new BackendServerId(key.substring(2))) : Optional.empty();
        }

        @Override
        public Optional<DataCentreId> evacuatedBy(String key) {
            return key.startsWith("e/") ? Optional.of(new DataCentreId(key.substring(2))) : Optional.empty();
        }

        @Override
        public RoutingTable configuration(byte[] value) {
            throw new IllegalArgumentException("no configuration");
        }

        @Override
        public Worker server(BackendServerId id, byte[] value, long nowMillis) {
            return new Worker(
                    id,
                    SERVICE,
                    new SocketAddressText("127.0.0.1", 80),
                    new DataCentreId(id.value().split("/")[0]),
                    6,
                    new String(value, StandardCharsets.UTF_8).equals("draining"),
                    EngineStage.NONE,
                    new SoftwareVersion("v1"),
                    1);
        }
    }

    private static StoreItem item(String key, long revision) {
        return StoreItem.stored(key, revision, "ready".getBytes(StandardCharsets.UTF_8));
    }

    private static List<StoreItem> servers(StoreItem... more) {
        List<StoreItem> items = new ArrayList<>(List.of(more));
        for (int i = 0; i < SERVERS; i++) {
            items.add(item("s/talca/" + i, 10 + i));
            items.add(item("s/molina/" + i, 50 + i));
        }
        return items;
    }

    private long usableIn(String dataCentre) {
        return state.registry().usable(SERVICE).stream()
                .filter(w -> w.dataCentre().value().equals(dataCentre))
                .count();
    }

    private void assertUsable(int inTalca, int inMolina) {
        assertEquals(inTalca, usableIn("talca"), "servers in talca");
        assertEquals(inMolina, usableIn("molina"), "servers in molina");
        assertEquals(inTalca + inMolina, state.registry().usable().size(), "servers of all services");
    }

    @BeforeEach
    void listServers() {
        state.applyListing(servers(), START, 0);
    }

    private List<StateChange> evacuate(String dataCentre) {
        return state.applyEvents(List.of(item("e/" + dataCentre, EVACUATED.revision())), EVACUATED, 1_000);
    }

    @Test
    void evacuationTakesAllServersOfTheDataCentreOutOfUseAtOnce() {
        List<StateChange> changes = evacuate("molina");
        assertUsable(SERVERS, 0);
        assertEquals(
                List.of(new StateChange("evacuation", "molina", "in force, backend servers: " + SERVERS, 120)),
                changes);
        assertEquals(
                List.of(new EvacuatedDataCentres.Evacuation(new DataCentreId("molina"), 1_000, 120)),
                state.registry().evacuated().inForce());
    }

    @Test
    void serverThatRegistersDuringTheEvacuationIsNotUsed() {
        evacuate("molina");
        state.applyEvents(List.of(item("s/molina/new", 130)), new StorePosition(1, 130), 2_000);
        assertUsable(SERVERS, 0);
    }

    @Test
    void serversAreUsableAgainOnceTheEvacuationIsTakenBack() {
        evacuate("molina");
        state.applyEvents(List.of(StoreItem.deleted("e/molina", 140)), new StorePosition(1, 140), 9_000);
        assertUsable(SERVERS, SERVERS);
    }

    @Test
    void unknownDataCentreEvacuatesNothingAndIsLogged() {
        List<StateChange> changes = evacuate("nowhere");
        assertUsable(SERVERS, SERVERS);
        assertEquals(
                "in force, no backend server is listed there", changes.get(0).outcome());
    }

    @Test
    void hostThatStartsDuringAnEvacuationLearnsOfItFromItsFirstListing() {
        PublishedState started = new PublishedState(new NameDecoder(), 3_600);
        List<StateChange> changes = started.applyListing(servers(item("e/molina", 120)), EVACUATED, 0);
        assertEquals(SERVERS, started.registry().usable(SERVICE).size());
        assertTrue(
                changes.contains(new StateChange("evacuation", "molina", "in force, backend servers: 25", 120)),
                "the evacuation is listed before the servers that it concerns");
    }

    @Test
    void dataCentreThatWasTakenBackWhileTheHostWasCutOffIsUsedAfterTheNextListing() {
        evacuate("molina");
        state.registry().sourceUnreachable();
        state.expire(60_000);
        assertUsable(SERVERS, 0);
        state.registry().sourceRecovered(60_000);
        state.applyListing(servers(), new StorePosition(1, 500), 60_000);
        assertUsable(SERVERS, SERVERS);
    }

    @Test
    void lateEventOfAnEvacuationThatWasTakenBackHasNoEffect() {
        evacuate("molina");
        state.applyListing(servers(), new StorePosition(1, 500), 9_000);
        state.applyEvents(List.of(item("e/molina", 120)), EVACUATED, 9_100);
        assertUsable(SERVERS, SERVERS);
    }

    @Test
    void evacuationThatAnOlderCopyOfTheStoreHasLostHoldsUntilItIsWrittenAgain() {
        evacuate("molina");
        state.applyListing(servers(), new StorePosition(2, 100), 5_000);
        assertUsable(SERVERS, 0);
        state.applyEvents(List.of(item("e/molina", 104)), new StorePosition(2, 104), 7_000);
        state.expire(5_000 + EvacuatedDataCentres.HELD_MILLIS);
        assertUsable(SERVERS, 0);
        state.applyEvents(List.of(StoreItem.deleted("e/molina", 110)), new StorePosition(2, 110), 30_000);
        assertUsable(SERVERS, SERVERS);
    }

    @Test
    void evacuationThatIsNotWrittenAgainEnds() {
        evacuate("molina");
        state.applyListing(servers(), new StorePosition(2, 100), 5_000);
        state.applyListing(servers(), new StorePosition(2, 110), 6_000);
        state.expire(4_999 + EvacuatedDataCentres.HELD_MILLIS);
        assertUsable(SERVERS, 0);
        List<StateChange> changes = state.expire(5_000 + EvacuatedDataCentres.HELD_MILLIS);
        assertUsable(SERVERS, SERVERS);
        assertEquals("over, not written again", changes.get(0).outcome());
    }

    @Test
    void evacuationThatAnOlderCopyOfTheStoreStillListsIsInForceUntilItIsTakenBackAgain() {
        evacuate("molina");
        state.applyEvents(List.of(StoreItem.deleted("e/molina", 140)), new StorePosition(1, 140), 2_000);
        state.applyListing(servers(item("e/molina", 120)), new StorePosition(2, 130), 3_000);
        assertUsable(SERVERS, 0);
        state.applyListing(servers(), new StorePosition(2, 131), 4_000);
        assertUsable(SERVERS, SERVERS);
    }

    @Test
    void anotherHostsStateCarriesTheEvacuation() {
        evacuate("molina");
        PublishedState cutOff = new PublishedState(new NameDecoder(), 3_600);
        cutOff.applyListing(servers(), START, 0);
        cutOff.registry().sourceUnreachable();
        cutOff.applyListing(state.items(), state.position(), 2_000);
        assertEquals(SERVERS, cutOff.registry().usable(SERVICE).size());
    }
}
